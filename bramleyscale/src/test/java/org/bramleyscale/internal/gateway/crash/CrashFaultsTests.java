package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.fleet.GatewayFleet;
import org.bramleyscale.internal.gateway.fleet.SimulatedCaller;
import org.bramleyscale.internal.gateway.fleet.SimulatedEndpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Randomised tests of requests that crash the endpoints that run them, with random fleets
 * and faults.
 *
 * <p>
 * {@code -Dcrash.seeds=1000} runs more seeds, {@code -Dcrash.seed=7} one.
 */
class CrashFaultsTests {

	private static final int MAX_FURTHER_ARRIVALS = 3;

	static LongStream seeds() {
		Long only = Long.getLong("crash.seed");
		return (only != null) ? LongStream.of(only) : LongStream.rangeClosed(1, Long.getLong("crash.seeds", 60));
	}

	/**
	 * Guards against failures that depend on the order of crashes, restarts, lost
	 * messages and outages.
	 */
	@ParameterizedTest
	@MethodSource("seeds")
	void deadlyRequestsReachFewEndpointsAndOthersAreNotSuspected(long seed) {
		Random random = new Random(seed);
		GatewayFleet fleet = new GatewayFleet(1 + random.nextInt(40), 8 + random.nextInt(30), seed);
		int crashing = 1 + random.nextInt(3);
		int pause = 100 + random.nextInt(1_500);
		boolean restarts = random.nextBoolean();
		boolean outages = random.nextBoolean();
		fleet.setMessageLoss(random.nextBoolean() ? 0.3 : 0);
		List<SimulatedCaller> others = new ArrayList<>();
		for (int millis = 0; millis < 60_000; millis += 20) {
			if (random.nextInt(pause / 20) == 0) {
				fleet.call(SimulatedEndpoint.CRASHING + random.nextInt(crashing));
			}
			others.add(fleet.call((random.nextInt(3) == 0) ? "popular" : "other " + millis));
			if (restarts && random.nextInt(100) == 0) {
				fleet.restart(random.nextInt(fleet.daemons.size()));
			}
			if (outages && random.nextInt(250) == 0) {
				fleet.store.setUnavailable(random.nextInt(3) != 0);
			}
			if (random.nextInt(100) == 0) {
				fleet.crashOneRunning("popular");
			}
			fleet.scheduler.advance(Duration.ofMillis(20));
		}
		for (int i = 0; i < crashing; i++) {
			Truth.assertThat(fleet.arrivals.late(SimulatedEndpoint.CRASHING + i)).isAtMost(MAX_FURTHER_ARRIVALS);
		}
		Truth.assertThat(others.stream().filter(SimulatedCaller::suspected).count()).isEqualTo(0);
	}

}
