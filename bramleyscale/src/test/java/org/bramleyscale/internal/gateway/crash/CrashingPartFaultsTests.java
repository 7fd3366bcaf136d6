package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.fleet.GatewayFleet;
import org.bramleyscale.internal.gateway.fleet.PathFault;
import org.bramleyscale.internal.gateway.fleet.SimulatedCaller;
import org.bramleyscale.internal.gateway.fleet.SimulatedEndpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Randomised tests of parts of prompts that crash endpoints, with random fleets and
 * faults.
 *
 * <p>
 * {@code -Dpart.seeds=300} runs more seeds, {@code -Dpart.seed=7} one.
 */
class CrashingPartFaultsTests {

	private static final int MAX_FURTHER_ARRIVALS = 3;

	private static final int STEP_MILLIS = 20;

	private static final int LENGTH_MILLIS = 40_000;

	/** Parts that sound requests have, and crashing ones as well. */
	private static final int SHARED_PARTS = 6;

	static LongStream seeds() {
		Long only = Long.getLong("part.seed");
		return (only != null) ? LongStream.of(only) : LongStream.rangeClosed(1, Long.getLong("part.seeds", 30));
	}

	/**
	 * Guards against parts that are found, lost and suspected wrongly by the order of
	 * crashes, restarts, lost messages, outages, losses of many endpoints and of paths.
	 */
	@ParameterizedTest
	@MethodSource("seeds")
	void crashingPartsReachFewEndpointsAndOthersAreNotSuspected(long seed) {
		Random random = new Random(seed);
		GatewayFleet fleet = new GatewayFleet(1 + random.nextInt(20), 10 + random.nextInt(20), seed);
		fleet.serviceTime = Duration.ofMillis(200 + random.nextInt(1_500));
		fleet.setMessageLoss(random.nextBoolean() ? 0.2 : 0);
		int crashingParts = 1 + random.nextInt(2);
		int crashingPause = 100 + random.nextInt(1_500);
		boolean restarts = random.nextInt(3) == 0;
		boolean outages = random.nextInt(3) == 0;
		boolean losses = random.nextInt(3) == 0;
		boolean paths = random.nextInt(3) == 0;
		List<SimulatedCaller> sound = new ArrayList<>();
		for (int millis = 0; millis < LENGTH_MILLIS; millis += STEP_MILLIS) {
			if (millis > 4_000 && random.nextInt(crashingPause / STEP_MILLIS) == 0) {
				String crashing = SimulatedEndpoint.CRASHING + random.nextInt(crashingParts);
				fleet.callWithParts("unlike " + millis, "popular", crashing, shared(random));
			}
			if (random.nextInt(3) == 0) {
				sound.add(fleet.callWithParts("sound " + millis, "popular", shared(random)));
			}
			if (restarts && random.nextInt(200) == 0) {
				fleet.restart(random.nextInt(fleet.daemons.size()));
			}
			if (outages && random.nextInt(250) == 0) {
				fleet.store.setUnavailable(random.nextInt(3) != 0);
			}
			if (losses && random.nextInt(400) == 0) {
				fleet.crashSome(random, 0.3 + 0.7 * random.nextDouble());
			}
			if (paths && random.nextInt(200) == 0) {
				PathFault fault = PathFault.values()[random.nextInt(PathFault.values().length)];
				fleet.setPathFault(random.nextInt(fleet.daemons.size()), fault);
			}
			fleet.scheduler.advance(Duration.ofMillis(STEP_MILLIS));
		}
		for (int i = 0; i < crashingParts; i++) {
			String crashing = SimulatedEndpoint.CRASHING + i;
			Truth.assertWithMessage("arrivals with " + crashing + ", crashes " + fleet.arrivals.crashesUnder(crashing))
				.that(fleet.arrivals.lateWithPart(crashing, GatewayFleet.SETTLING_TIME))
				.isAtMost(MAX_FURTHER_ARRIVALS);
		}
		Truth.assertThat(sound.stream().filter(SimulatedCaller::suspected).map(SimulatedCaller::reason).toList())
			.isEmpty();
	}

	private static String shared(Random random) {
		return "shared" + random.nextInt(SHARED_PARTS);
	}

}
