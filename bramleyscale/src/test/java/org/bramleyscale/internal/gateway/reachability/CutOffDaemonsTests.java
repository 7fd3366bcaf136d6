package org.bramleyscale.internal.gateway.reachability;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.fleet.GatewayFleet;
import org.bramleyscale.internal.gateway.fleet.PathFault;
import org.bramleyscale.internal.gateway.fleet.SimulatedCallers;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that callers are served while some daemons have no path to any endpoint, on a
 * manual clock.
 */
class CutOffDaemonsTests {

	private static final int ENDPOINTS = 14;

	private static final int CALLERS = 60;

	private static final int CALLS_PER_SECOND = 100;

	private static final int MILLIS_PER_CALL = 1_000 / CALLS_PER_SECOND;

	private static final long CUT = 5_000;

	/** The time after which the rule applies to the daemons of a cut, in ms. */
	private static final long CONTACT = 3_000;

	private static final long HEALED = 17_000;

	private static final long END = 25_000;

	static Stream<Arguments> cuts() {
		return Stream.of(7, 100)
			.flatMap((daemons) -> Arrays.stream(PathFault.values())
				.filter((fault) -> fault != PathFault.NONE)
				.flatMap((fault) -> Arrays.stream(Share.values()).map((share) -> Arguments.of(daemons, fault, share))));
	}

	/** Guards against callers that are sent to daemons without a path to any endpoint. */
	@ParameterizedTest
	@MethodSource("cuts")
	void callersAreServedAsOftenAsElsewhere(int daemons, PathFault fault, Share share) {
		SimulatedCallers callers = play(daemons, fault, share.cutOff(daemons));
		List<SimulatedCallers.FirstTry> tries = callers.firstTries(CUT + CONTACT, HEALED);
		IntPredicate cut = share.cutOff(daemons);
		SimulatedCallers.Outcomes there = SimulatedCallers.outcomes(tries, cut);
		SimulatedCallers.Outcomes elsewhere = SimulatedCallers.outcomes(tries, cut.negate());

		boolean servedLessOften = there.share() < 2.0 / 3 * elsewhere.share();
		boolean manyFailed = there.failed() > 10 + tries.size() / 50.0;
		Truth.assertWithMessage("cut off: %s, others: %s", there, elsewhere)
			.that(servedLessOften && manyFailed)
			.isFalse();
		Truth.assertThat(elsewhere.share()).isAtLeast(0.98);
	}

	/** Guards against requests that count as crashing endpoints because of a cut. */
	@ParameterizedTest
	@MethodSource("cuts")
	void noRequestIsSuspectedOfCrashingEndpoints(int daemons, PathFault fault, Share share) {
		GatewayFleet fleet = new GatewayFleet(daemons, ENDPOINTS, daemons);
		IntPredicate cut = share.cutOff(daemons);
		fleet.run(CUT, CALLS_PER_SECOND, new Random(1), (now) -> {
		});
		setFault(fleet, cut, fault);
		fleet.run(HEALED - CUT, CALLS_PER_SECOND, new Random(2), (now) -> {
		});
		Truth.assertThat(fleet.reportedCrashes()).isEqualTo(0);
	}

	/**
	 * Guards against one daemon's broken path to some endpoints, which counts on all
	 * daemons as their crash.
	 */
	@ParameterizedTest
	@CsvSource({ "9, RESET, 0.3, 1", "9, RESET, 0.6, 2", "9, REFUSED, 0.3, 3", "30, RESET, 0.3, 4",
			"100, RESET, 0.6, 5" })
	void endpointsThatOthersReachHaveNotCrashed(int daemons, PathFault fault, double share, long seed) {
		assertNoneSuspected(daemons, Math.min(daemons / 2, 4), fault, share, seed);
	}

	/**
	 * Guards against the same if all daemons that callers use have lost the path to some
	 * endpoints.
	 */
	@Test
	void endpointsThatOnlyUnusedDaemonsReachHaveNotCrashed() {
		assertNoneSuspected(100, 50, PathFault.RESET, 0.6, 5);
	}

	/**
	 * Guards against crashes that count again, since a report of one overtakes or follows
	 * its retraction.
	 */
	@ParameterizedTest
	@CsvSource({ "9, 7, RESET, 0.6, 1", "30, 15, RESET, 0.6, 2", "30, 15, REFUSED, 0.3, 9",
			"100, 50, REFUSED, 0.3, 3" })
	void endpointsThatMostUsedDaemonsHaveLostHaveNotCrashed(int daemons, int affected, PathFault fault, double share,
			long seed) {
		assertNoneSuspected(daemons, affected, fault, share, seed);
	}

	/**
	 * Guards against a daemon that starts and names others before it knows their state.
	 */
	@ParameterizedTest
	@CsvSource({ "2, RESET, 1", "2, HANGING, 2", "3, REFUSED, 3", "9, RESET, 4" })
	void daemonThatRestartsDuringACutNamesNoneThatAreCutOff(int daemons, PathFault fault, long seed) {
		GatewayFleet fleet = new GatewayFleet(daemons, ENDPOINTS, seed);
		SimulatedCallers callers = new SimulatedCallers(fleet, CALLERS, seed);
		for (long now = 0; now < HEALED; now += MILLIS_PER_CALL) {
			if (now == CUT) {
				setFault(fleet, (daemon) -> daemon > 0, fault);
			}
			if (now > CUT + CONTACT && now % 700 == 0) {
				fleet.restart(0);
			}
			callers.call();
			fleet.scheduler.advance(Duration.ofMillis(MILLIS_PER_CALL));
		}
		List<SimulatedCallers.FirstTry> tries = callers.firstTries(CUT + CONTACT, HEALED);
		SimulatedCallers.Outcomes there = SimulatedCallers.outcomes(tries, (daemon) -> daemon > 0);
		Truth.assertThat((double) there.failed()).isAtMost(10 + tries.size() / 50.0);
	}

	private static void assertNoneSuspected(int daemons, int affected, PathFault fault, double share, long seed) {
		GatewayFleet fleet = new GatewayFleet(daemons, ENDPOINTS, seed);
		SimulatedCallers callers = new SimulatedCallers(fleet, CALLERS, seed);
		for (long now = 0; now < HEALED; now += MILLIS_PER_CALL) {
			if (now >= CUT && now < HEALED - CONTACT && now % 500 == 0) {
				PathFault current = (now % 1_000 == 0) ? fault : PathFault.NONE;
				IntStream.range(0, affected).forEach((daemon) -> fleet.setPartialPathFault(daemon, current, share));
			}
			callers.call();
			fleet.scheduler.advance(Duration.ofMillis(MILLIS_PER_CALL));
		}
		Truth.assertThat(fleet.reportedCrashes()).isGreaterThan(0L);
		Truth.assertThat(fleet.suspectedRequests()).isEqualTo(0);
		Truth.assertThat(callers.firstTries(0, HEALED).stream().anyMatch(SimulatedCallers.FirstTry::suspected))
			.isFalse();
	}

	private static SimulatedCallers play(int daemons, PathFault fault, IntPredicate cut) {
		GatewayFleet fleet = new GatewayFleet(daemons, ENDPOINTS, daemons);
		SimulatedCallers callers = new SimulatedCallers(fleet, CALLERS, daemons);
		for (long now = 0; now < END; now += MILLIS_PER_CALL) {
			if (now == CUT) {
				setFault(fleet, cut, fault);
			}
			if (now == HEALED) {
				setFault(fleet, cut, PathFault.NONE);
			}
			callers.call();
			fleet.scheduler.advance(Duration.ofMillis(MILLIS_PER_CALL));
		}
		return callers;
	}

	private static void setFault(GatewayFleet fleet, IntPredicate cut, PathFault fault) {
		IntStream.range(0, fleet.daemons.size()).filter(cut).forEach((daemon) -> fleet.setPathFault(daemon, fault));
	}

	/**
	 * The daemons that are cut off. Daemons are numbered across three data centres in
	 * turn, the large ones of a large fleet first.
	 */
	enum Share {

		ALONE {

			@Override
			IntPredicate cutOff(int daemons) {
				return (daemon) -> daemon == 1;
			}

		},

		DATA_CENTRE {

			@Override
			IntPredicate cutOff(int daemons) {
				return (daemon) -> daemon % 3 == 0;
			}

		},

		DATA_CENTRE_AND_ONE {

			@Override
			IntPredicate cutOff(int daemons) {
				return (daemon) -> daemon % 3 == 0 || daemon == 1;
			}

		},

		ALL_LARGE {

			@Override
			IntPredicate cutOff(int daemons) {
				return (daemon) -> daemon < Math.min(daemons - 1, 6);
			}

		},

		ALL_BUT_ONE {

			@Override
			IntPredicate cutOff(int daemons) {
				return (daemon) -> daemon < daemons - 1;
			}

		};

		/**
		 * Selects the daemons that are cut off.
		 * @param daemons the size of the fleet
		 * @return selects by index
		 */
		abstract IntPredicate cutOff(int daemons);

	}

}
