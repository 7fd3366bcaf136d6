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
 * Drawn outages of the store, at the end of which changes come quickly while daemons
 * stand still that followed it, or the store turns some away. Each change must be in
 * force in time on every daemon in touch: one that ran, and could call a store that
 * answers, for {@link #CONTACT_MARGIN} longer than a change may take.
 *
 * <p>
 * More seeds by hand: {@code -Doutage.seeds=2000}.
 */
class OutageFaultsTests {

	private static final Duration CONTACT_MARGIN = Duration.ofSeconds(1);

	private static final Duration STEP = Duration.ofMillis(20);

	/** Daemons stand still for little longer than a change may take. */
	private static final Duration FROZEN = Duration.ofMillis(600);

	private final ManualScheduler scheduler = new ManualScheduler();

	private final Set<SimulatedFleet.Daemon> excluded = new HashSet<>();

	private SimulatedFleet fleet;

	static LongStream seeds() {
		return LongStream.rangeClosed(1, Integer.getInteger("outage.seeds", 60));
	}

	/** Guards against daemons that ask a store which is back too late. */
	@ParameterizedTest
	@MethodSource("seeds")
	void changesAfterAnOutageAreInForceInTimeOnAllInTouch(long seed) {
		Random random = new Random(seed);
		boolean large = random.nextBoolean();
		Duration within = Duration.ofSeconds(large ? 3 : 2);
		start(random, large, within);
		SimulatedStore.Link away = random.nextBoolean() ? SimulatedStore.Link.SILENT : SimulatedStore.Link.REFUSED;
		this.fleet.daemons().forEach((daemon) -> daemon.store().link(away));
		this.scheduler.advance(Duration.ofMillis(3_000 + random.nextInt(12_000)));
		restoreStore(random);
		long inTouch = this.scheduler.nanos() + within.plus(CONTACT_MARGIN).toNanos();
		List<Change> changes = new ArrayList<>();
		int strikeAt = 1 + random.nextInt(3);
		for (int i = 1; i <= 4; i++) {
			this.scheduler.advance(Duration.ofMillis(random.nextInt(900)));
			if (i == strikeAt || random.nextInt(4) == 0) {
				freezeSome(random, within);
			}
			this.scheduler.advance(Duration.ofMillis(60));
			this.fleet.store().change("change-" + i);
			changes.add(new Change("change-" + i, Math.max(inTouch, this.scheduler.nanos() + within.toNanos())));
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
		int near = 12 + random.nextInt(60);
		if (large) {
			this.fleet.topology(new RelayedTopology(near));
		}
		this.fleet.store().change("first");
		this.fleet.start(large ? RelayedTopology.RELAYS + near : 3 + random.nextInt(20));
		this.scheduler.advance(Duration.ofMillis(8_000 + random.nextInt(6_000)));
	}

	/**
	 * Has the store answer again, at times not all daemons.
	 * @param random draws
	 */
	private void restoreStore(Random random) {
		double turnedAway = random.nextBoolean() ? 0.35 * random.nextDouble() : 0;
		for (SimulatedFleet.Daemon daemon : this.fleet.daemons()) {
			if (random.nextDouble() < turnedAway) {
				this.excluded.add(daemon);
			}
			else {
				daemon.store().link(SimulatedStore.Link.WORKS);
			}
		}
	}

	/**
	 * Has some daemons stand still: those that read the store last, the first in the
	 * order, or any.
	 * @param random draws
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
			daemon.freeze(Duration.ofMillis(random.nextInt((int) within.plus(FROZEN).toMillis())));
			this.excluded.add(daemon);
		});
	}

	/**
	 * A change of an object.
	 */
	private record Change(String name, long dueAt) {
	}

}
