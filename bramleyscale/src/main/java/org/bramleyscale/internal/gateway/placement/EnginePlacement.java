package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.hold.MemoryHold;
import org.bramleyscale.internal.gateway.limit.EndpointLimits;
import org.bramleyscale.internal.gateway.load.DemandBoard;
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
	public static final int MOST_READERS = 17;

	/** What a recent failure adds to an engine's score, ms. */
	private static final double FAILURE_MILLIS = 150;

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

	private final PlacementTuning tuning;

	public EnginePlacement(BackendTable backends, BackendHealth health, LoadBoard loads, DemandBoard demands,
			RandomGenerator random) {
		this(backends, health, loads, demands, random, PlacementTuning.DEFAULT);
	}

	/**
	 * Makes a policy for experiments.
	 * @param backends the endpoints
	 * @param health which of them failed lately
	 * @param loads what they have to do
	 * @param demands what is asked for
	 * @param random spreads choices
	 * @param tuning the thresholds
	 */
	public EnginePlacement(BackendTable backends, BackendHealth health, LoadBoard loads, DemandBoard demands,
			RandomGenerator random, PlacementTuning tuning) {
		this.backends = backends;
		this.health = health;
		this.loads = loads;
		this.demands = demands;
		this.random = random;
		this.tuning = tuning;
	}

	/**
	 * Whether a prompt counts as long: its parts are long however many engines read it.
	 * @param service the service, which has engines
	 * @param promptTokens the prompt's length
	 * @return true if it is kept apart from short ones
	 */
	public static boolean isLong(Service service, long promptTokens) {
		EngineProfile profile = service.engine().orElseThrow();
		return profile.readMillis(promptTokens) > MOST_READERS
				* longestWhole(service, profile, PlacementTuning.DEFAULT);
	}

	/**
	 * What one engine reads of a prompt by itself among short answers.
	 * @param service the service
	 * @param profile its engines
	 * @param tuning the thresholds
	 * @return ms of reading
	 */
	private static double longestWhole(Service service, EngineProfile profile, PlacementTuning tuning) {
		return tuning.wholeShare() * readingPause(service, profile);
	}

	/**
	 * The time that the strictest pause leaves for reading in a pass of a half full
	 * engine, or one chunk if it leaves less.
	 * @param service the service
	 * @param profile its engines
	 * @return ms
	 */
	private static double readingPause(Service service, EngineProfile profile) {
		double pass = profile.passMillis(profile.slots() / 2, 0);
		double chunk = profile.readMillis(profile.chunk());
		return Math.max(chunk, service.aims().strictestPause().toMillis() - pass);
	}

	@Override
	public Placement place(PlacementRequest request) {
		EngineProfile profile = request.service().engine().orElseThrow();
		double read = profile.readMillis(request.promptTokens());
		List<Candidate> candidates = candidates(request, profile);
		if (candidates.stream().noneMatch(Candidate::open)) {
			return PlainPlacement.refused(this.backends.usable(request.service().name()), request, this.health);
		}
		List<Candidate> shortLane = candidates.stream()
			.filter((candidate) -> !candidate.longLane() && !candidate.avoided())
			.toList();
		double shortPart = read / Math.max(1, Math.min(MOST_READERS, shortLane.size()));
		double whole = longestWhole(request.service(), profile, this.tuning);
		boolean large = needed(request) > Candidate.USED_MEMORY * profile.memoryTokens();
		if (large || shortPart > whole) {
			return checked(request, placeLong(request, candidates, read));
		}
		int readers = 1;
		if (read > whole) {
			double part = this.tuning.partShare() * readingPause(request.service(), profile);
			readers = Math.min(MOST_READERS, (int) Math.ceil(read / part));
		}
		return checked(request, placeShort(request, candidates, shortLane, read, readers));
	}

	private Placement placeShort(PlacementRequest request, List<Candidate> candidates, List<Candidate> shortLane,
			double read, int readers) {
		Candidate target = few(request, shortLane, candidates).stream()
			.filter((candidate) -> candidate.open() && candidate.freeTokens() >= needed(request))
			.min(Comparator.comparingDouble(Candidate::shortScore))
			.orElse(null);
		if (target == null) {
			return Placement.refused("no memory free", FULL_PAUSE);
		}
		int over = target.load().active() - target.profile().slots();
		if (over >= MOST_WAITING * target.profile().slots()) {
			return Placement.refused("all slots taken", FULL_PAUSE);
		}
		List<Backend> helpers = shortLane.stream()
			.filter((candidate) -> candidate != target && candidate.mayHelp())
			.sorted(Comparator.comparingDouble(Candidate::readScore))
			.limit(readers - 1L)
			.map(Candidate::backend)
			.toList();
		double part = read / (helpers.size() + 1);
		double first = slotWait(request, target) + target.load().readMillis() + part + pass(target);
		return Placement.at(target.backend(), helpers, part, first, target.longLane() ? "short, spilt" : "short");
	}

	/**
	 * The engines that read a long prompt now, or none if it should wait here.
	 * @param request the request
	 * @param lane the engines that may read it
	 * @param read its reading, ms
	 * @return the readers
	 */
	private List<Candidate> readers(PlacementRequest request, List<Candidate> lane, double read) {
		if (!this.tuning.budgets()) {
			return lane;
		}
		double part = read / Math.min(MOST_READERS, lane.size());
		double target = request.route().targetLatency().toMillis();
		double late = Math.max(this.tuning.lateShare() * target, this.tuning.laterThanBest() * part);
		double latest = Math.max(target - millis(request.waited()), late);
		double free = this.tuning.freeShare() * request.service().aims().slowestTarget().toMillis();
		return new ReaderChoice(this.tuning.pauseShare(), free).among(lane, read, needed(request), latest);
	}

	/**
	 * A prompt that waits here, with its first event as it would be once the lane has
	 * read what is before it.
	 * @param request the request
	 * @param lane the engines that may read it
	 * @param read its reading, ms
	 * @return the placement
	 */
	private Placement later(PlacementRequest request, List<Candidate> lane, double read) {
		double unread = lane.stream().mapToDouble((candidate) -> candidate.load().readMillis()).average().orElse(0);
		double ahead = this.demands.waitingAhead(request.service().name(), read);
		long memory = lane.stream().mapToLong(Candidate::freeTokens).filter((tokens) -> tokens > 0).sum();
		return Placement.later(unread + ahead / lane.size() + read / Math.min(MOST_READERS, lane.size()),
				(memory < needed(request)) ? "long, no memory free" : "long, waits");
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
			.filter((candidate) -> candidate.open() && !candidate.full() && candidate.freeTokens() >= needed(request))
			.toList());
		if (open.isEmpty()) {
			return candidates;
		}
		List<Candidate> few = new ArrayList<>();
		while (few.size() < this.tuning.choices() && !open.isEmpty()) {
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
		List<Candidate> lane = candidates.stream()
			.filter((candidate) -> candidate.longLane() && !candidate.avoided() && candidate.mayHelp())
			.toList();
		if (lane.isEmpty()) {
			lane = candidates;
		}
		List<Candidate> readers = new ArrayList<>(readers(request, lane, read));
		if (readers.isEmpty()) {
			return later(request, lane, read);
		}
		double smallest = read / Math.min(MOST_READERS, readers.size());
		readers.sort(Comparator.comparingDouble(Candidate::readScore));
		Candidate target = roomiest(readers);
		if (target == null) {
			target = roomiest(lane);
		}
		double least = FULL_PAUSE.toMillis() + smallest;
		if (target == null) {
			return Placement.later(least, "long, all slots taken");
		}
		Candidate chosen = target;
		readers.removeIf((candidate) -> candidate == chosen || !candidate.mayHelp());
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
	 * The engine with most free memory among those that may get a request.
	 * @param candidates the engines
	 * @return the engine, or null if all slots are taken
	 */
	private static Candidate roomiest(List<Candidate> candidates) {
		return candidates.stream()
			.filter((candidate) -> candidate.open() && !candidate.full())
			.max(Comparator.comparingLong(Candidate::freeTokens))
			.orElse(null);
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
			if (rest > 0 && candidate.open() && candidate.freeTokens() > 0 && holds.size() < MOST_READERS - 1) {
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

	private static double millis(Duration duration) {
		return duration.toNanos() / NANOS_PER_MILLI;
	}

	private static long needed(PlacementRequest request) {
		return request.promptTokens() + request.outputTokens();
	}

	private static Placement checked(PlacementRequest request, Placement placement) {
		double left = millis(request.left());
		double late = placement.firstMillis() - left;
		if ((placement.target().isEmpty() && !placement.waits()) || late <= 0) {
			return placement;
		}
		Duration pause = Duration.ofMillis(Math.min(LONGEST_PAUSE.toMillis(), Math.round(late) + 100));
		return Placement.refused("first event predicted in " + Math.round(placement.firstMillis()) + " ms", pause);
	}

	/**
	 * The engines of a request's service. Those that name a limit or rest are in no lane:
	 * a lane is sized by the work that its engines can take.
	 * @param request the request
	 * @param profile how they work
	 * @return all that weren't asked yet
	 */
	private List<Candidate> candidates(PlacementRequest request, EngineProfile profile) {
		List<Backend> usable = this.backends.usable(request.service().name());
		EndpointLimits limits = request.limits();
		Set<EndpointStart> inLanes = usable.stream()
			.map(Backend::start)
			.filter((endpoint) -> !limits.limited(endpoint) && !rests(endpoint))
			.collect(Collectors.toSet());
		LanePlan plan = LanePlan.of(inLanes.size(), profile.slots(), this.demands.shortActive(request.service().name()),
				this.tuning.shortFull(), this.tuning.shortRoomy());
		List<Candidate> candidates = new ArrayList<>();
		int position = 0;
		for (Backend backend : usable) {
			EndpointStart endpoint = backend.start();
			boolean inLane = inLanes.contains(endpoint);
			boolean longLane = inLane && this.tuning.lanes() && plan.isLong(position);
			position += inLane ? 1 : 0;
			if (!request.tried().contains(endpoint)) {
				double extra = FAILURE_MILLIS * this.health.failures(endpoint);
				boolean rests = rests(endpoint);
				candidates.add(new Candidate(backend, this.loads.load(endpoint), longLane, this.health.avoid(endpoint),
						rests, !rests && limits.open(endpoint), extra, profile));
			}
		}
		return candidates;
	}

	private boolean rests(EndpointStart endpoint) {
		return !this.health.restLeft(endpoint).isZero();
	}

}
