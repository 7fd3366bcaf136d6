package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests with random faults of peers, of the connections between them and of the store's
 * answers, while entries are written and removed. A daemon in contact, which has run for
 * {@link #CONTACT_TIME} with a store that answers it, must hold each entry as the store
 * confirmed it {@link #WITHIN} ago, whatever its peers know or confirm, and use none that
 * was removed by then, unless it may have expired in an outage.
 *
 * <p>
 * To run more seeds: {@code -Ddeparture.seeds=2000}, from another one on
 * {@code -Ddeparture.from=2001}.
 */
class DepartureFaultsTests {

	private static final Duration WITHIN = Duration.ofSeconds(2);

	private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

	private static final Duration STEP = Duration.ofMillis(50);

	private static final int ROUNDS = 40;

	private static final int ZONES = 3;

	private static final int ENTRIES = 8;

	private static final int MAX_ROUND_MILLIS = 1_500;

	private static final int MAX_FAULT_MILLIS = 6_000;

	private final ManualScheduler scheduler = new ManualScheduler();

	private final SimulatedFleet fleet = new SimulatedFleet(this.scheduler, WITHIN);

	private final Map<Integer, Long> inContactFrom = new HashMap<>();

	private final Set<String> violations = new TreeSet<>();

	private long stableFrom;

	private int daemons;

	static LongStream seeds() {
		long first = Long.getLong("departure.from", 1);
		return LongStream.rangeClosed(first, Integer.getInteger("departure.seeds", 60));
	}

	/** Guards against entries that stay because a peer confirms copies that hold them. */
	@ParameterizedTest
	@MethodSource("seeds")
	void daemonInContactHoldsWhatTheStoreConfirmed(long seed) {
		Random random = new Random(seed * 7_919);
		if (random.nextBoolean()) {
			this.fleet.store().nameNoEra();
		}
		for (int i = 0; i < ENTRIES / 2; i++) {
			this.fleet.store().change("entry-" + i);
		}
		this.daemons = 3 + random.nextInt(9);
		this.fleet.start(this.daemons);
		this.scheduler.advance(Duration.ofSeconds(8));
		for (int rank = 0; rank < this.daemons; rank++) {
			this.inContactFrom.put(rank, this.scheduler.nanos());
		}
		for (int round = 0; round < ROUNDS; round++) {
			for (int fault = random.nextInt(3); fault > 0; fault--) {
				inject(random);
			}
			write(random);
			advance(Duration.ofMillis(random.nextInt(MAX_ROUND_MILLIS)));
		}
		Truth.assertWithMessage("seed " + seed + ", " + this.daemons + " daemons").that(this.violations).isEmpty();
	}

	private void write(Random random) {
		for (int i = random.nextInt(3); i > 0; i--) {
			String name = "entry-" + random.nextInt(ENTRIES);
			SimulatedStore.Write last = this.fleet.store().lastWrites().get(name);
			if (last != null && !last.deleted() && random.nextBoolean()) {
				this.fleet.store().delete(name);
			}
			else {
				this.fleet.store().change(name);
			}
		}
	}

	private void inject(Random random) {
		int rank = random.nextInt(this.daemons);
		SimulatedFleet.Daemon daemon = this.fleet.daemons().get(rank);
		Duration span = Duration.ofMillis(random.nextInt(MAX_FAULT_MILLIS));
		switch (random.nextInt(10)) {
			case 0 -> cutZone(random.nextInt(ZONES), span);
			case 1 -> cutAtRandom(random, span);
			case 2 -> failCalls(daemon, random, span);
			case 3 -> restartSome(random);
			case 4 -> {
				daemon.freeze(span);
				outOfContact(rank, span);
			}
			case 5 -> {
				daemon.queueDelay(span);
				this.scheduler.schedule(span, () -> daemon.queueDelay(Duration.ZERO));
			}
			case 6 -> slowAnswers(daemon, random, span);
			case 7 -> this.fleet.store().loseHistory();
			case 8 -> outage(random, span);
			default -> this.fleet.cut((one, other) -> false);
		}
	}

	private void cutZone(int zone, Duration span) {
		this.fleet.cut((one, other) -> one % ZONES == zone && other % ZONES != zone);
		this.scheduler.schedule(span, () -> this.fleet.cut((one, other) -> false));
	}

	private void cutAtRandom(Random random, Duration span) {
		Set<List<Integer>> pairs = new HashSet<>();
		for (int i = 0; i < this.daemons * 2; i++) {
			pairs.add(List.of(random.nextInt(this.daemons), random.nextInt(this.daemons)));
		}
		this.fleet.cut((one, other) -> pairs.contains(List.of(one, other)));
		this.scheduler.schedule(span, () -> this.fleet.cut((one, other) -> false));
	}

	private void failCalls(SimulatedFleet.Daemon daemon, Random random, Duration span) {
		daemon.store()
			.outcome(random.nextBoolean() ? SimulatedStore.CallOutcome.REFUSED : SimulatedStore.CallOutcome.SILENT);
		outOfContact(daemon.rank(), span);
		this.scheduler.schedule(span, () -> daemon.store().outcome(SimulatedStore.CallOutcome.WORKS));
	}

	/**
	 * Makes the store unavailable to all daemons, to some of them for longer.
	 * @param random the random generator
	 * @param span how long
	 */
	private void outage(Random random, Duration span) {
		this.stableFrom = Math.max(this.stableFrom, this.scheduler.nanos() + span.plus(CONTACT_TIME).toNanos());
		SimulatedStore.CallOutcome outcome = random.nextBoolean() ? SimulatedStore.CallOutcome.REFUSED
				: SimulatedStore.CallOutcome.SILENT;
		for (SimulatedFleet.Daemon daemon : this.fleet.daemons()) {
			Duration own = (random.nextInt(4) == 0) ? span.plusMillis(random.nextInt(MAX_FAULT_MILLIS)) : span;
			daemon.store().outcome(outcome);
			outOfContact(daemon.rank(), own);
			this.scheduler.schedule(own, () -> daemon.store().outcome(SimulatedStore.CallOutcome.WORKS));
		}
	}

	private void slowAnswers(SimulatedFleet.Daemon daemon, Random random, Duration span) {
		daemon.store().slowAnswers(Duration.ofMillis(random.nextInt(4_000)), Duration.ofMillis(300));
		// The answer that is under way at the end still arrives late.
		outOfContact(daemon.rank(), span.plusSeconds(5));
		this.scheduler.schedule(span, () -> daemon.store().slowAnswers(Duration.ZERO, Duration.ofHours(1)));
	}

	private void restartSome(Random random) {
		List<Integer> ranks = new ArrayList<>();
		boolean together = random.nextBoolean();
		for (int rank = 0; rank < this.daemons; rank++) {
			if (together ? random.nextInt(3) > 0 : random.nextInt(this.daemons) == 0) {
				ranks.add(rank);
			}
		}
		for (int rank : ranks) {
			this.fleet.restart(rank, Duration.ofMillis(random.nextInt(3_000)));
			outOfContact(rank, Duration.ZERO);
		}
	}

	private void outOfContact(int rank, Duration span) {
		this.inContactFrom.merge(rank, this.scheduler.nanos() + span.plus(CONTACT_TIME).toNanos(), Math::max);
	}

	private void advance(Duration span) {
		long end = this.scheduler.nanos() + span.toNanos();
		while (this.scheduler.nanos() < end) {
			this.scheduler.advance(STEP);
			this.fleet.daemons()
				.stream()
				.filter((daemon) -> this.scheduler.nanos() >= this.inContactFrom.get(daemon.rank()))
				.forEach(this::check);
		}
	}

	private void check(SimulatedFleet.Daemon daemon) {
		long confirmedBefore = this.scheduler.nanos() - WITHIN.toNanos();
		Map<String, ObjectCopy> held = new HashMap<>();
		daemon.held().forEach((copy) -> held.put(copy.name(), copy));
		this.fleet.store().lastWrites().forEach((name, write) -> {
			ObjectCopy copy = held.get(name);
			boolean asWritten = write.deleted() ? copy == null : copy != null && copy.revision() == write.revision();
			boolean usedStill = write.deleted() && write.at() >= this.stableFrom
					&& daemon.usedUntil(name) > this.scheduler.nanos();
			if (write.at() <= confirmedBefore && (!asWritten || usedStill)) {
				this.violations.add("rank " + daemon.rank() + " has " + ((copy != null) ? copy.revision() : "no") + " "
						+ name + " instead of " + write + (usedStill ? ", used until " + daemon.usedUntil(name) : ""));
			}
		});
	}

}
