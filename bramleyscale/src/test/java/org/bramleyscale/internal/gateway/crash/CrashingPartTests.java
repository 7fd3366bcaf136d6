package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.fleet.GatewayFleet;
import org.bramleyscale.internal.gateway.fleet.SimulatedCaller;
import org.bramleyscale.internal.gateway.fleet.SimulatedEndpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that daemons stop requests that have nothing in common but one part of their
 * prompts, under which endpoints crash, and no other requests.
 */
class CrashingPartTests {

	private static final String CRASHING = SimulatedEndpoint.CRASHING;

	private static final String POPULAR = "popular";

	private static final String RARE = "rare";

	private static final int ENDPOINTS = 14;

	private static final int STEP_MILLIS = 20;

	private static final int CALLS_PER_SECOND = 16;

	/** The most arrivals once all daemons must know the part, from then on. */
	private static final int MAX_FURTHER_ARRIVALS = 3;

	/** The time from the fifth crash on within which all daemons know the part. */
	private static final Duration KNOWN_AFTER = Duration.ofMillis(300);

	private static final int MAX_CRASHES = 8;

	/** The time from the fifth crash on after which other requests are served again. */
	private static final Duration SERVED_AFTER = Duration.ofSeconds(6);

	private static final double MIN_SERVED = 0.95;

	private final List<Sound> sound = new ArrayList<>();

	private Random random;

	private GatewayFleet fleet;

	/** Guards against a part that crashes endpoints in requests that never repeat. */
	@ParameterizedTest
	@CsvSource({ "1, 4, MIDDLE, 1", "2, 4, MIDDLE, 2", "2, 4, FIRST, 3", "3, 8, MIDDLE, 4", "9, 4, MIDDLE, 5",
			"9, 8, FIRST, 6", "9, 1, MIDDLE, 7", "100, 4, MIDDLE, 8" })
	void crashingPartReachesFewEndpoints(int daemons, int crashingPerSecond, Position position, long seed) {
		start(daemons, seed);
		for (int millis = 0; millis < 20_000; millis += STEP_MILLIS) {
			if (millis > 3_000 && occurs(crashingPerSecond)) {
				this.fleet.callWithParts("unlike " + millis, position.parts());
			}
			step(millis);
		}
		assertFewArrivals();
		long fifth = this.fleet.arrivals.crashesUnder(CRASHING).get(4);
		Truth.assertThat(servedShare(fifth + SERVED_AFTER.toMillis(), POPULAR)).isAtLeast(MIN_SERVED);
		Truth.assertThat(servedShare(fifth + SERVED_AFTER.toMillis(), RARE)).isAtLeast(MIN_SERVED);
	}

	/**
	 * Guards against taking the end of a crashing endpoint's connection for an answer.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 4, 1", "2, 4, 2", "9, 4, 3" })
	void crashingPartIsFoundThoughItsResponsesLookWhole(int daemons, int crashingPerSecond, long seed) {
		start(daemons, seed);
		this.fleet.unframed = true;
		for (int millis = 0; millis < 20_000; millis += STEP_MILLIS) {
			if (millis > 3_000 && occurs(crashingPerSecond)) {
				this.fleet.callWithParts("unlike " + millis, Position.MIDDLE.parts());
			}
			step(millis);
		}
		Truth.assertThat(this.fleet.arrivals.lateWithPart(CRASHING, GatewayFleet.SETTLING_TIME))
			.isAtMost(MAX_FURTHER_ARRIVALS);
		long fifth = this.fleet.arrivals.crashesUnder(CRASHING).get(4);
		Truth.assertThat(servedShare(fifth + SERVED_AFTER.toMillis(), POPULAR)).isAtLeast(MIN_SERVED);
	}

	/** Guards against refusing parts because all their endpoints were lost at once. */
	@ParameterizedTest
	@CsvSource({ "1, 1", "9, 2", "100, 3" })
	void lossOfAllEndpointsBlocksNoPart(int daemons, long seed) {
		start(daemons, seed);
		for (int millis = 0; millis < 15_000; millis += STEP_MILLIS) {
			if (millis == 5_000) {
				this.fleet.crashAll();
			}
			step(millis);
		}
		Truth.assertThat(servedShare(5_000 + SERVED_AFTER.toMillis(), POPULAR)).isEqualTo(1.0);
		Truth.assertThat(servedShare(5_000 + SERVED_AFTER.toMillis(), RARE)).isEqualTo(1.0);
		Truth.assertThat(this.fleet.store.all()).isEmpty();
	}

	/** Guards against refusing parts because endpoints crash one after the other. */
	@ParameterizedTest
	@CsvSource({ "1, 1", "9, 2", "100, 3" })
	void seriesOfOtherCrashesBlocksNoPart(int daemons, long seed) {
		start(daemons, seed);
		for (int millis = 0; millis < 15_000; millis += STEP_MILLIS) {
			if (millis > 5_000 && millis < 10_000 && millis % 400 == 0) {
				this.fleet.crashBusiest();
			}
			step(millis);
		}
		Truth.assertThat(this.sound.stream().filter((each) -> each.caller.suspected()).count()).isEqualTo(0);
		Truth.assertThat(servedShare(10_000, POPULAR)).isAtLeast(MIN_SERVED);
	}

	/** Guards against blocking for ever a part that was only seen beside the cause. */
	@Test
	void companionOfTheCrashingPartIsServedOnceItComesAlone() {
		start(9, 1);
		for (int millis = 0; millis < 10_000; millis += STEP_MILLIS) {
			if (occurs(4)) {
				this.fleet.callWithParts("unlike " + millis, POPULAR, CRASHING, "companion");
			}
			step(millis);
		}
		List<SimulatedCaller> callers = new ArrayList<>();
		for (int millis = 10_000; millis < 17_000; millis += STEP_MILLIS) {
			if (millis < 15_000 && millis % 500 == 0) {
				callers.add(this.fleet.callWithParts("alone " + millis, POPULAR, "companion"));
				this.fleet.callWithParts("unlike " + millis, POPULAR, CRASHING, "companion");
			}
			step(millis);
		}
		Truth.assertThat(callers.stream().map(SimulatedCaller::response).filter("200"::equals).count())
			.isEqualTo(callers.size());
		Truth.assertThat(this.fleet.arrivals.lateWithPart(CRASHING, GatewayFleet.SETTLING_TIME))
			.isAtMost(MAX_FURTHER_ARRIVALS);
	}

	private void start(int daemons, long seed) {
		this.fleet = new GatewayFleet(daemons, ENDPOINTS, seed);
		this.fleet.serviceTime = Duration.ofMillis(900);
		this.random = new Random(seed);
	}

	private boolean occurs(int perSecond) {
		return this.random.nextInt(1_000 / STEP_MILLIS) < perSecond;
	}

	/**
	 * Sends the calls of one step and advances the clock.
	 * @param millis the time
	 */
	private void step(int millis) {
		if (occurs(CALLS_PER_SECOND)) {
			String second = (this.random.nextInt(10) == 0) ? RARE : "usual";
			this.sound.add(new Sound(this.fleet.callWithParts("sound " + millis, POPULAR, second), second, millis));
		}
		this.fleet.scheduler.advance(Duration.ofMillis(STEP_MILLIS));
	}

	private void assertFewArrivals() {
		Truth.assertThat(this.fleet.arrivals.lateWithPart(CRASHING, GatewayFleet.SETTLING_TIME))
			.isAtMost(MAX_FURTHER_ARRIVALS);
		Truth.assertThat(this.fleet.arrivals.lateWithPart(CRASHING, KNOWN_AFTER)).isAtMost(MAX_FURTHER_ARRIVALS);
		Truth.assertThat(this.fleet.arrivals.crashesUnder(CRASHING).size()).isAtMost(MAX_CRASHES);
	}

	/**
	 * The share of requests without the crashing part that were served at their first
	 * try.
	 * @param from the earliest time of a request, in ms
	 * @param part a part of the requests
	 * @return the share of those that had the time to be served
	 */
	private double servedShare(long from, String part) {
		long end = this.sound.get(this.sound.size() - 1).millis - 1_000;
		List<Sound> counted = this.sound.stream()
			.filter((each) -> each.millis >= from && each.millis < end)
			.filter((each) -> part.equals(POPULAR) || each.second.equals(part))
			.toList();
		return (double) counted.stream().filter((each) -> each.caller.response().equals("200")).count()
				/ counted.size();
	}

	/**
	 * A request without the crashing part.
	 *
	 * @param caller the caller
	 * @param second the second part of the prompt
	 * @param millis the time of the call
	 */
	private record Sound(SimulatedCaller caller, String second, int millis) {
	}

	/**
	 * The place of the crashing part in the prompts.
	 */
	enum Position {

		FIRST(CRASHING, RARE), MIDDLE(POPULAR, CRASHING, RARE);

		private final String[] parts;

		Position(String... parts) {
			this.parts = parts;
		}

		String[] parts() {
			return this.parts.clone();
		}

	}

}
