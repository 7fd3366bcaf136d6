package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.hold.MemoryHold;
import org.bramleyscale.internal.gateway.load.DemandBoard;
import org.bramleyscale.internal.gateway.load.EndpointLoad;
import org.bramleyscale.internal.gateway.load.LoadBoard;

/**
 * Sends short prompts to the engine that reads them first, has longer ones read by
 * several engines at once, and keeps those whose parts would still be long apart from the
 * others.
 *
 * <p>
 * Invariants: an engine gets no prompt that its memory can't hold beside what it has; a
 * request whose first event is predicted after its caller has left is refused at once.
 * Confined to the scheduler's thread.
 */
public final class EnginePlacement implements PlacementPolicy {

	/** The protocol's bound on engines that help to read is 16; the target reads too. */
	static final int MOST_READERS = 17;

	/**
	 * What one engine reads at a time among short answers, ms. Their callers allow pauses
	 * of 250 ms; a pass takes 45 ms without reading, and two or three parts may meet.
	 */
	static final double SHORT_PART_MILLIS = 60;

	/** A part that is longer than this goes to the long lane if there is one, ms. */
	static final double LONGEST_SHORT_PART_MILLIS = 110;

	/**
	 * Engines among which one is chosen for a short prompt. All daemons know the same of
	 * engines, some hundred milliseconds late in a large fleet; if each took the best of
	 * all, they would all take the same one until they hear of it. On fake engines (69,
	 * 76 daemons that hear of each other after 250 ms, 165 quotes a second), 0.87 of the
	 * quotes were in time with 3, 0.89 with 2, 0.80 with 5, 0.15 with all; on 21 engines
	 * with 7 daemons (2 ms) 0.80 with 3 and 0.73 with all.
	 */
	static final int CHOICES = 3;

	/** What a recent failure adds to an engine's score, ms. */
	private static final double FAILURE_MILLIS = 150;

	/**
	 * Scores are spread by this, so that daemons don't all choose the same engine, ms.
	 */
	private static final double JITTER_MILLIS = 8;

	/**
	 * Reading that each engine of the long lane may have before it, ms, when another long
	 * prompt is sent there. Engines read what they have in no order of ours: twenty long
	 * prompts sent at once all end after the time of twenty. On fake engines with many
	 * manuals (mean of eight seeds), 0.95 to 0.99 of the manuals were in time with 20 to
	 * 130 ms, 0.73 to 0.86 with 300 to 1,200 ms, 0.78 without a bound.
	 */
	static final double MOST_UNREAD_MILLIS = 60;

	/** Requests that wait at a full engine, as a part of its slots. */
	private static final double MOST_WAITING = 0.5;

	/** When slots or memory are taken: about a third of an answer's time. */
	private static final Duration FULL_PAUSE = Duration.ofMillis(700);

	private static final Duration LONGEST_PAUSE = Duration.ofSeconds(2);

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final BackendTable backends;

	private final BackendHealth health;

	private final LoadBoard loads;

	private final DemandBoard demands;

	private final RandomGenerator random;

	public EnginePlacement(BackendTable backends, BackendHealth health, LoadBoard loads, DemandBoard demands,
			RandomGenerator random) {
		this.backends = backends;
		this.health = health;
		this.loads = loads;
		this.demands = demands;
		this.random = random;
	}

	/**
	 * Whether a prompt counts as long: its parts are long however many engines read it.
	 * @param profile the engine
	 * @param promptTokens the prompt's length
	 * @return true if it is kept apart from short ones
	 */
	public static boolean isLong(EngineProfile profile, long promptTokens) {
		return profile.readMillis(promptTokens) > MOST_READERS * LONGEST_SHORT_PART_MILLIS;
	}

	@Override
	public Placement place(PlacementRequest request) {
		EngineProfile profile = request.service().engine().orElseThrow();
		double read = profile.readMillis(request.promptTokens());
		List<Candidate> candidates = candidates(request, profile, read);
		if (candidates.isEmpty()) {
			boolean none = this.backends.usable(request.service().name()).isEmpty();
			return Placement.refused(none ? "no endpoint" : "no other endpoint", PlainPlacement.NO_ENDPOINT_PAUSE);
		}
		List<Candidate> shortLane = candidates.stream()
			.filter((candidate) -> !candidate.longLane() && !candidate.avoided())
			.toList();
		double shortPart = read / Math.max(1, Math.min(MOST_READERS, shortLane.size()));
		boolean large = needed(request) > Candidate.USED_MEMORY * profile.memoryTokens();
		if (large || shortPart > LONGEST_SHORT_PART_MILLIS) {
			return checked(request, placeLong(request, candidates, read));
		}
		return checked(request, placeShort(request, candidates, shortLane, read));
	}

	private Placement placeShort(PlacementRequest request, List<Candidate> candidates, List<Candidate> shortLane,
			double read) {
		Candidate target = few(request, shortLane, candidates).stream()
			.filter((candidate) -> candidate.freeTokens() >= needed(request))
			.min(Comparator.comparingDouble(Candidate::shortScore))
			.orElse(null);
		if (target == null) {
			return Placement.refused("no memory free", FULL_PAUSE);
		}
		int over = target.load().active() - target.profile().slots();
		if (over >= MOST_WAITING * target.profile().slots()) {
			return Placement.refused("all slots taken", FULL_PAUSE);
		}
		int readers = (read <= LONGEST_SHORT_PART_MILLIS) ? 1 : (int) Math.ceil(read / SHORT_PART_MILLIS);
		List<Backend> helpers = shortLane.stream()
			.filter((candidate) -> candidate != target && candidate.mayHelp())
			.sorted(Comparator.comparingDouble(Candidate::readScore))
			.limit(Math.min(MOST_READERS, readers) - 1L)
			.map(Candidate::backend)
			.toList();
		double part = read / (helpers.size() + 1);
		double first = slotWait(request, target) + target.load().readMillis() + part + pass(target);
		return Placement.at(target.backend(), helpers, part, first, target.longLane() ? "short, spilt" : "short");
	}

	/**
	 * Whether a long prompt waits here until its lane has read more of what it has. The
	 * longer it has waited, measured by its own reading, the more it may find there: so
	 * shorter ones go first, and none waits for ever.
	 * @param request the request
	 * @param lane the engines that would read it
	 * @param read its reading, ms
	 * @param part what each of them would read, ms
	 * @return the placement to wait, or null to go on
	 */
	private Placement waiting(PlacementRequest request, List<Candidate> lane, double read, double part) {
		double unread = lane.stream().mapToDouble((candidate) -> candidate.load().readMillis()).average().orElse(0);
		double waited = request.waited().toNanos() / NANOS_PER_MILLI;
		if (unread <= MOST_UNREAD_MILLIS * (1 + waited / part)) {
			return null;
		}
		double ahead = this.demands.waitingAhead(request.service().name(), read);
		return Placement.later(unread + ahead / lane.size() + part, "long, waits");
	}

	/**
	 * The engines among which a short prompt's is chosen: a few of its lane by chance, or
	 * all if none of its lane has a slot and memory.
	 * @param request the request
	 * @param shortLane its lane
	 * @param candidates all engines
	 * @return some of them
	 */
	private List<Candidate> few(PlacementRequest request, List<Candidate> shortLane, List<Candidate> candidates) {
		List<Candidate> open = new ArrayList<>(shortLane.stream()
			.filter((candidate) -> !candidate.full() && candidate.freeTokens() >= needed(request))
			.toList());
		if (open.isEmpty()) {
			return candidates;
		}
		List<Candidate> few = new ArrayList<>();
		while (few.size() < CHOICES && !open.isEmpty()) {
			few.add(open.remove(this.random.nextInt(open.size())));
		}
		return few;
	}

	/**
	 * Places a long prompt. While its lane lacks a slot or memory it waits here, as long
	 * as it can still be read before its caller leaves: callers come back only once, and
	 * memory is free again when one answer has been written.
	 * @param request the request
	 * @param candidates all engines
	 * @param read its reading, ms
	 * @return the placement
	 */
	private Placement placeLong(PlacementRequest request, List<Candidate> candidates, double read) {
		List<Candidate> readers = new ArrayList<>(
				candidates.stream().filter((candidate) -> candidate.longLane() && !candidate.avoided()).toList());
		if (readers.isEmpty()) {
			readers.addAll(candidates);
		}
		double smallest = read / Math.min(MOST_READERS, readers.size());
		Placement waiting = waiting(request, readers, read, smallest);
		if (waiting != null) {
			return waiting;
		}
		readers.sort(Comparator.comparingDouble(Candidate::readScore));
		Candidate target = readers.stream()
			.filter((candidate) -> !candidate.full())
			.max(Comparator.comparingLong(Candidate::freeTokens))
			.orElse(null);
		double least = FULL_PAUSE.toMillis() + smallest;
		if (target == null) {
			return Placement.later(least, "long, all slots taken");
		}
		readers.removeIf((candidate) -> candidate == target || !candidate.mayHelp());
		List<MemoryHold> holds = holds(needed(request) - target.freeTokens(), readers);
		if (holds == null) {
			return Placement.later(least, "long, no memory free");
		}
		List<Backend> helpers = helpers(readers, holds);
		double part = read / (helpers.size() + 1);
		double busiest = readers.stream()
			.filter((candidate) -> helpers.contains(candidate.backend()))
			.mapToDouble((candidate) -> candidate.load().readMillis())
			.reduce(target.load().readMillis(), Math::max);
		return Placement.at(target.backend(), helpers, part, busiest + part + pass(target), "long").holding(holds);
	}

	/**
	 * The engines that help to read, those that hold memory first. As many as there are:
	 * an engine reads several small parts in one pass, so more readers mean smaller parts
	 * and don't make anybody wait.
	 * @param readers the engines beside the target, those with the least to read first
	 * @param holds memory held on some of them
	 * @return the engines
	 */
	private static List<Backend> helpers(List<Candidate> readers, List<MemoryHold> holds) {
		List<Backend> helpers = new ArrayList<>(holds.stream().map(MemoryHold::engine).toList());
		for (Candidate candidate : readers) {
			if (helpers.size() < MOST_READERS - 1 && !helpers.contains(candidate.backend())) {
				helpers.add(candidate.backend());
			}
		}
		return helpers;
	}

	/**
	 * The memory to hold on other engines for what the target's own can't take.
	 * @param tokens what it can't take, possibly nothing
	 * @param readers the other engines
	 * @return the holds on as few engines as possible, or null if all of them have too
	 * little
	 */
	private static List<MemoryHold> holds(long tokens, List<Candidate> readers) {
		List<MemoryHold> holds = new ArrayList<>();
		long rest = tokens;
		List<Candidate> byMemory = new ArrayList<>(readers);
		byMemory.sort(Comparator.comparingLong(Candidate::freeTokens).reversed());
		for (Candidate candidate : byMemory) {
			if (rest > 0 && candidate.freeTokens() > 0 && holds.size() < MOST_READERS - 1) {
				long part = Math.min(rest, candidate.freeTokens());
				holds.add(new MemoryHold(candidate.backend(), part));
				rest -= part;
			}
		}
		return (rest > 0) ? null : holds;
	}

	private static double slotWait(PlacementRequest request, Candidate target) {
		int over = target.load().active() - target.profile().slots();
		if (over < 0) {
			return 0;
		}
		int slots = target.profile().slots();
		return (over + 1.0) / slots * target.profile().writeMillis(Math.max(1, request.outputTokens()), slots);
	}

	private static double pass(Candidate target) {
		return target.profile().passMillis(target.load().active(), target.load().tokens());
	}

	private static long needed(PlacementRequest request) {
		return request.promptTokens() + request.outputTokens();
	}

	private static Placement checked(PlacementRequest request, Placement placement) {
		double left = request.left().toNanos() / NANOS_PER_MILLI;
		double late = placement.firstMillis() - left;
		if ((placement.target().isEmpty() && !placement.waits()) || late <= 0) {
			return placement;
		}
		Duration pause = Duration.ofMillis(Math.min(LONGEST_PAUSE.toMillis(), Math.round(late) + 100));
		return Placement.refused("first event predicted in " + Math.round(placement.firstMillis()) + " ms", pause);
	}

	private List<Candidate> candidates(PlacementRequest request, EngineProfile profile, double read) {
		List<Backend> usable = this.backends.usable(request.service().name());
		List<EndpointLoad> known = usable.stream().map((backend) -> this.loads.load(backend.start())).toList();
		double backlog = known.stream().mapToDouble(EndpointLoad::readMillis).sum()
				+ this.demands.waitingMillis(request.service().name()) + read;
		LanePlan plan = LanePlan.of(usable.size(), profile.slots(), this.demands.shortActive(request.service().name()),
				this.demands.longEngines(request.service().name()), backlog);
		List<Candidate> candidates = new ArrayList<>();
		for (int i = 0; i < usable.size(); i++) {
			Backend backend = usable.get(i);
			if (!request.tried().contains(backend.start())) {
				double extra = FAILURE_MILLIS * this.health.failures(backend.start())
						+ JITTER_MILLIS * this.random.nextDouble();
				candidates.add(new Candidate(backend, known.get(i), plan.isLong(i), this.health.avoid(backend.start()),
						extra, profile));
			}
		}
		return candidates;
	}

}
