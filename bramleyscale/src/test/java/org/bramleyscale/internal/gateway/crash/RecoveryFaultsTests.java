package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.fleet.GatewayFleet;
import org.bramleyscale.internal.gateway.fleet.SimulatedCaller;
import org.bramleyscale.internal.gateway.fleet.SimulatedEndpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Randomised tests of the time after losses of all daemons, which overlap with losses of
 * endpoints and of the store.
 *
 * <p>
 * {@code -Drecovery.seeds=300} runs more seeds, {@code -Drecovery.from=301} from another
 * one on.
 */
class RecoveryFaultsTests {

	/** Time after the last return from which on requests must be served. */
	private static final Duration RECOVERY = Duration.ofSeconds(3);

	private static final Duration OBSERVED = Duration.ofSeconds(8);

	private static final double MIN_SHARE = 0.95;

	/** Arrivals of requests with a crashing part after the fifth crash. */
	private static final int MAX_FURTHER_ARRIVALS = 3;

	private static final int STEP_MILLIS = 20;

	private static final int SHARED_PARTS = 4;

	static LongStream seeds() {
		return LongStream.rangeClosed(Long.getLong("recovery.from", 1), Long.getLong("recovery.seeds", 40));
	}

	/** Guards against a new fleet that is held back by what the lost one recorded. */
	@ParameterizedTest
	@MethodSource("seeds")
	void eachDaemonServesWhatEndpointsCanServeAfterALoss(long seed) {
		new Play(seed).run();
	}

	/**
	 * One fleet, its losses and the requests after the last return.
	 */
	private static final class Play {

		private final Random random;

		private final GatewayFleet fleet;

		private final boolean crashingRequests;

		private final TreeMap<Integer, List<Runnable>> plan = new TreeMap<>();

		private final Map<Integer, List<SimulatedCaller>> byDaemon = new HashMap<>();

		private final Map<String, List<SimulatedCaller>> byPart = new HashMap<>();

		private int lastReturn;

		private Play(long seed) {
			this.random = new Random(seed);
			this.fleet = new GatewayFleet(1 + this.random.nextInt(9), 8 + this.random.nextInt(17), seed);
			this.fleet.serviceTime = Duration.ofMillis(100 + this.random.nextInt(2_000));
			this.fleet.setMessageLoss(this.random.nextBoolean() ? 0.2 : 0);
			this.crashingRequests = this.random.nextInt(3) == 0;
			int losses = 1 + this.random.nextInt(3);
			int at = 500 + this.random.nextInt(5_000);
			for (int i = 0; i < losses; i++) {
				planLoss(at);
				at += 1_000 + this.random.nextInt(4_000);
			}
		}

		private void planLoss(int at) {
			int lost = at + STEP_MILLIS;
			for (int daemon = 0; daemon < this.fleet.daemons.size(); daemon++) {
				int index = daemon;
				plan(lost, () -> this.fleet.setRunning(index, false));
				// At a later loss it may not be back from the one before.
				plan(returnAt(lost + 300 + this.random.nextInt(2_500)), () -> this.fleet.setRunning(index, true));
			}
			if (this.random.nextInt(3) != 0) {
				double share = this.random.nextDouble();
				int crash = Math.max(0, lost - 600 + this.random.nextInt(1_200));
				plan(crash, () -> this.fleet.crashSome(this.random, share));
				returnAt(crash + 2_000);
			}
			if (this.random.nextInt(3) == 0) {
				plan(Math.max(0, lost - this.random.nextInt(1_500)), () -> this.fleet.store.setUnavailable(true));
				plan(returnAt(lost + this.random.nextInt(4_000)), () -> this.fleet.store.setUnavailable(false));
			}
		}

		private int returnAt(int millis) {
			this.lastReturn = Math.max(this.lastReturn, millis);
			return millis;
		}

		private void plan(int millis, Runnable event) {
			this.plan.computeIfAbsent(millis / STEP_MILLIS * STEP_MILLIS, (at) -> new ArrayList<>()).add(event);
		}

		private void run() {
			int from = this.lastReturn + (int) RECOVERY.toMillis();
			int end = from + (int) OBSERVED.toMillis();
			for (int millis = 0; millis < end; millis += STEP_MILLIS) {
				this.plan.getOrDefault(millis, List.of()).forEach(Runnable::run);
				if (this.crashingRequests && millis < this.lastReturn && this.random.nextInt(25) == 0) {
					this.fleet.callWithParts("unlike " + millis, "popular", SimulatedEndpoint.CRASHING, shared());
				}
				callOne(millis, millis >= from);
				this.fleet.scheduler.advance(Duration.ofMillis(STEP_MILLIS));
			}
			this.fleet.scheduler.advance(Duration.ofSeconds(12));
			this.byDaemon.forEach((daemon, calls) -> assertServed("daemon " + daemon, calls));
			this.byPart.forEach((part, calls) -> assertServed("part " + part, calls));
			Truth.assertThat(this.fleet.arrivals.lateWithPart(SimulatedEndpoint.CRASHING, GatewayFleet.SETTLING_TIME))
				.isAtMost(MAX_FURTHER_ARRIVALS);
		}

		private void callOne(int millis, boolean counted) {
			int daemon = this.random.nextInt(this.fleet.daemons.size());
			String part = shared();
			SimulatedCaller caller = this.fleet.callWithParts(daemon, "sound " + millis, List.of("popular", part));
			if (counted) {
				this.byDaemon.computeIfAbsent(daemon, (key) -> new ArrayList<>()).add(caller);
				this.byPart.computeIfAbsent(part, (key) -> new ArrayList<>()).add(caller);
			}
		}

		private String shared() {
			return "shared" + this.random.nextInt(SHARED_PARTS);
		}

		private static void assertServed(String which, List<SimulatedCaller> calls) {
			long served = calls.stream().filter((call) -> call.response().equals("200")).count();
			List<String> others = calls.stream()
				.filter((call) -> !call.response().equals("200"))
				.map((call) -> call.response() + " " + call.reason())
				.distinct()
				.limit(4)
				.toList();
			Truth.assertWithMessage("served of " + calls.size() + " by " + which + ", others " + others)
				.that((double) served / calls.size())
				.isAtLeast(MIN_SHARE);
		}

	}

}
