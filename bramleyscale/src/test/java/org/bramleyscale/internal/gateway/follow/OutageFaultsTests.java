package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests with random outages of the store, after which changes follow quickly while some
 * of the daemons that followed it are suspended, or the store refuses some. Each change
 * must be in force in time on every daemon in contact: one that was running, and whose
 * calls the store would have answered, for {@link #CONTACT_MARGIN} longer than a change
 * may take.
 *
 * <p>
 * To run more seeds: {@code -Doutage.seeds=2000}.
 */
class OutageFaultsTests {

	private static final Duration CONTACT_MARGIN = Duration.ofSeconds(1);

	private static final Duration STEP = Duration.ofMillis(20);

	/** By how much daemons are suspended longer than a change may take, at the most. */
	private static final Duration MAX_EXTRA_FREEZE = Duration.ofMillis(600);

	private final ManualScheduler scheduler = new ManualScheduler();

	private final Set<SimulatedFleet.Daemon> excluded = new HashSet<>();

	private SimulatedFleet fleet;

	static LongStream seeds() {
		return LongStream.rangeClosed(1, Integer.getInteger("outage.seeds", 60));
	}

	/**
	 * Guards against daemons that query the store too late once it is available again.
	 */
	@ParameterizedTest
	@MethodSource("seeds")
	void changesAfterAnOutageAreInForceInTimeOnAllInContact(long seed) {
		Random random = new Random(seed);
		boolean large = random.nextBoolean();
		Duration within = Duration.ofSeconds(large ? 3 : 2);
		start(random, large, within);
		SimulatedStore.CallOutcome failure = random.nextBoolean() ? SimulatedStore.CallOutcome.SILENT
				: SimulatedStore.CallOutcome.REFUSED;
		this.fleet.daemons().forEach((daemon) -> daemon.store().outcome(failure));
		this.scheduler.advance(Duration.ofMillis(3_000 + random.nextInt(12_000)));
		restoreStore(random);
		long contactDueAt = this.scheduler.nanos() + within.plus(CONTACT_MARGIN).toNanos();
		List<Change> changes = new ArrayList<>();
		int freezeAt = 1 + random.nextInt(3);
		for (int i = 1; i <= 4; i++) {
			this.scheduler.advance(Duration.ofMillis(random.nextInt(900)));
			if (i == freezeAt || random.nextInt(4) == 0) {
				freezeSome(random, within);
			}
			this.scheduler.advance(Duration.ofMillis(60));
			this.fleet.store().change("change-" + i);
			changes.add(new Change("change-" + i, Math.max(contactDueAt, this.scheduler.nanos() + within.toNanos())));
		}
		for (Change change : changes) {
			while (this.scheduler.nanos() < change.dueAt) {
				this.scheduler.advance(STEP);
			}
			Truth.assertWithMessage("seed " + seed + ", ranks without " + change.name)
				.that(this.fleet.daemons()
					.stream()
					.filter((daemon) -> !this.excluded.contains(daemon) && !daemon.knows(change.name))
					.map(SimulatedFleet.Daemon::rank)
					.toList())
				.isEmpty();
		}
	}

	private void start(Random random, boolean large, Duration within) {
		this.fleet = new SimulatedFleet(this.scheduler, within);
		int leaves = 12 + random.nextInt(60);
		if (large) {
			this.fleet.topology(new RelayedTopology(leaves));
		}
		this.fleet.store().change("first");
		this.fleet.start(large ? RelayedTopology.RELAYS + leaves : 3 + random.nextInt(20));
		this.scheduler.advance(Duration.ofMillis(8_000 + random.nextInt(6_000)));
	}

	/**
	 * Makes the store answer again, in some runs not to all daemons.
	 * @param random the random generator
	 */
	private void restoreStore(Random random) {
		double refusedShare = random.nextBoolean() ? 0.35 * random.nextDouble() : 0;
		for (SimulatedFleet.Daemon daemon : this.fleet.daemons()) {
			if (random.nextDouble() < refusedShare) {
				this.excluded.add(daemon);
			}
			else {
				daemon.store().outcome(SimulatedStore.CallOutcome.WORKS);
			}
		}
	}

	/**
	 * Suspends some daemons: those that read the store last, the first in the order, or
	 * any.
	 * @param random the random generator
	 * @param within how long a change may take
	 */
	private void freezeSome(Random random, Duration within) {
		List<SimulatedFleet.Daemon> chosen = new ArrayList<>(this.fleet.daemons());
		switch (random.nextInt(3)) {
			case 0 ->
				chosen.sort(Comparator.comparingLong((SimulatedFleet.Daemon daemon) -> -daemon.store().answeredAt()));
			case 1 -> chosen.sort(Comparator.comparingInt(SimulatedFleet.Daemon::rank));
			default -> Collections.shuffle(chosen, random);
		}
		int count = 1 + random.nextInt(3);
		chosen.subList(0, count).forEach((daemon) -> {
			daemon.freeze(Duration.ofMillis(random.nextInt((int) within.plus(MAX_EXTRA_FREEZE).toMillis())));
			this.excluded.add(daemon);
		});
	}

	/**
	 * A change of an object.
	 */
	private record Change(String name, long dueAt) {
	}

}
