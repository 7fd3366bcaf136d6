package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests with random faults on a simulated large fleet that follows one store: queues that
 * grow and drain at any daemon, and daemons whose calls the store refuses or doesn't
 * answer. Changes are made at random times. Each must be in force in time on every daemon
 * whose calls to the store have worked for {@link #CONTACT_TIME} before it.
 *
 * <p>
 * To run more seeds: {@code -Dfollow.seeds=500}.
 */
class FollowFaultsTests {

	private static final Duration WITHIN = Duration.ofSeconds(3);

	/** A daemon counts only if its calls to the store have worked for this long. */
	private static final Duration CONTACT_TIME = Duration.ofSeconds(4);

	private static final int LEAVES = 24;

	private static final int ROUNDS = 40;

	private final ManualScheduler scheduler = new ManualScheduler();

	private final SimulatedFleet fleet = new SimulatedFleet(this.scheduler, WITHIN);

	private final Map<Integer, Long> worksSince = new HashMap<>();

	static LongStream seeds() {
		return LongStream.rangeClosed(1, Integer.getInteger("follow.seeds", 20));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void changeIsInForceInTimeWhateverFaultsOtherDaemonsHave(long seed) {
		// Symptom: a daemon that can read the store uses an outdated document. Sequence:
		// random. Cause: messages of peers keep the daemon from querying the store
		// itself.
		Random random = new Random(seed);
		this.fleet.topology(new RelayedTopology(LEAVES));
		this.fleet.store().change("first");
		this.fleet.start(RelayedTopology.RELAYS + LEAVES);
		this.fleet.daemons().forEach((daemon) -> this.worksSince.put(daemon.rank(), this.scheduler.nanos()));
		this.scheduler.advance(Duration.ofSeconds(10));
		for (int round = 1; round <= ROUNDS; round++) {
			inject(random);
			this.scheduler.advance(Duration.ofMillis(random.nextInt(3_000)));
			change("change-" + round, seed);
		}
	}

	private void inject(Random random) {
		int rank = random.nextInt(random.nextBoolean() ? RelayedTopology.RELAYS : RelayedTopology.RELAYS + LEAVES);
		SimulatedFleet.Daemon daemon = this.fleet.daemons().get(rank);
		switch (random.nextInt(4)) {
			case 0 -> daemon.queueDelay(Duration.ofMillis(random.nextInt(8_000)));
			case 1 -> daemon.queueDelay(Duration.ZERO);
			case 2 -> setOutcome(daemon,
					random.nextBoolean() ? SimulatedStore.CallOutcome.REFUSED : SimulatedStore.CallOutcome.SILENT);
			default -> this.fleet.daemons().forEach((other) -> setOutcome(other, SimulatedStore.CallOutcome.WORKS));
		}
	}

	private void setOutcome(SimulatedFleet.Daemon daemon, SimulatedStore.CallOutcome outcome) {
		if (daemon.store().outcome() != outcome) {
			daemon.store().outcome(outcome);
			this.worksSince.put(daemon.rank(),
					(outcome == SimulatedStore.CallOutcome.WORKS) ? this.scheduler.nanos() : Long.MAX_VALUE);
		}
	}

	private void change(String name, long seed) {
		long contactSince = this.scheduler.nanos() - CONTACT_TIME.toNanos();
		List<SimulatedFleet.Daemon> inContact = this.fleet.daemons()
			.stream()
			.filter((daemon) -> this.worksSince.get(daemon.rank()) <= contactSince)
			.toList();
		this.fleet.store().change(name);
		this.scheduler.advance(WITHIN);
		List<Integer> outdated = inContact.stream()
			.filter((daemon) -> !daemon.knows(name))
			.map(SimulatedFleet.Daemon::rank)
			.toList();
		Truth.assertWithMessage("seed " + seed + ", ranks without " + name).that(outdated).isEmpty();
	}

}
