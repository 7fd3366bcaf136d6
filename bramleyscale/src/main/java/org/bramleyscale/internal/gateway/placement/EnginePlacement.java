package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.eligibility.EndpointRules;
import org.bramleyscale.internal.gateway.eligibility.RequestScope;
import org.bramleyscale.internal.gateway.hold.MemoryHold;
import org.bramleyscale.internal.gateway.load.DemandTracker;
import org.bramleyscale.internal.gateway.load.LoadTracker;

/**
 * Sends short prompts to the engine that can prefill them first, splits longer ones over
 * several engines, and keeps prompts whose parts would still be long apart from the
 * others.
 *
 * <p>
 * Invariants: an engine gets no prompt that does not fit into its memory beside its
 * current requests; a request whose first event is predicted after its caller's deadline
 * is refused at once. Confined to the scheduler's thread.
 */
public final class EnginePlacement implements PlacementPolicy {

	/** The protocol allows at most 16 helper engines; the target engine prefills too. */
	public static final int MAX_PREFILL_ENGINES = 17;

	/** What each recent failure adds to an engine's score, ms. */
	private static final double FAILURE_PENALTY_MILLIS = 150;

	/** Requests that may queue at a full engine, as a share of its slots. */
	private static final double MAX_QUEUED_SHARE = 0.5;

	/**
	 * Retry delay when slots or memory are exhausted: about a third of the time of an
	 * answer.
	 */
	private static final Duration FULL_RETRY_DELAY = Duration.ofMillis(700);

	private static final Duration MAX_RETRY_DELAY = Duration.ofSeconds(2);

	/**
	 * The shortest round trip that counts, as a share of the strictest permitted pause. A
	 * shorter one is lost in the variation of passes, and preferring near engines for it
	 * only makes their load uneven.
	 */
	private static final double NOTICEABLE_DELAY_SHARE = 0.05;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final BackendTable backends;

	private final BackendHealth health;

	private final LoadTracker loads;

	private final DemandTracker demands;

	private final RandomGenerator random;

	private final PlacementTuning tuning;

	public EnginePlacement(BackendTable backends, BackendHealth health, LoadTracker loads, DemandTracker demands,
			RandomGenerator random) {
		this(backends, health, loads, demands, random, PlacementTuning.DEFAULT);
	}

	/**
	 * Creates a policy with explicit thresholds, for experiments.
	 * @param backends the endpoints
	 * @param health the recent failures of endpoints
	 * @param loads the load of endpoints
	 * @param demands the demand by service
	 * @param random source of randomness that spreads choices over engines
	 * @param tuning the thresholds
	 */
	public EnginePlacement(BackendTable backends, BackendHealth health, LoadTracker loads, DemandTracker demands,
			RandomGenerator random, PlacementTuning tuning) {
		this.backends = backends;
		this.health = health;
		this.loads = loads;
		this.demands = demands;
		this.random = random;
		this.tuning = tuning;
	}

	/**
	 * Whether a prompt counts as long: its parts are long however many engines share it.
	 * @param service the service, which must have engines
	 * @param promptTokens the length of the prompt
	 * @return true if it is kept apart from short prompts
	 */
	public static boolean isLong(Service service, long promptTokens) {
		EngineProfile profile = service.engine().orElseThrow();
		return profile.prefillMillis(promptTokens) > MAX_PREFILL_ENGINES
				* singleEngineMillis(service, profile, PlacementTuning.DEFAULT);
	}

	/**
	 * The longest prefill that a single engine does for one prompt alongside short
	 * answers.
	 * @param service the service
	 * @param profile the profile of its engines
	 * @param tuning the thresholds
	 * @return ms of prefill
	 */
	private static double singleEngineMillis(Service service, EngineProfile profile, PlacementTuning tuning) {
		return tuning.singleEngineShare() * prefillAllowanceMillis(service, profile);
	}

	/**
	 * The time for prefill that the strictest permitted pause leaves in a pass of a
	 * half-full engine, but at least the time of one chunk.
	 * @param service the service
	 * @param profile the profile of its engines
	 * @return ms
	 */
	private static double prefillAllowanceMillis(Service service, EngineProfile profile) {
		double pass = profile.passMillis(profile.slots() / 2, 0);
		double chunk = profile.prefillMillis(profile.chunk());
		return Math.max(chunk, service.streamTargets().strictestPause().toMillis() - pass);
	}

	@Override
	public Placement place(PlacementRequest request) {
		EngineProfile profile = request.service().engine().orElseThrow();
		double promptMillis = profile.prefillMillis(request.promptTokens());
		List<Candidate> candidates = candidates(request, profile);
		if (candidates.stream().noneMatch(Candidate::available)) {
			return PlainPlacement.refused(this.backends.usable(request.service().name()), request);
		}
		List<Candidate> shortLane = candidates.stream()
			.filter((candidate) -> !candidate.longLane() && !candidate.avoided())
			.toList();
		double shortLanePart = promptMillis / Math.max(1, Math.min(MAX_PREFILL_ENGINES, shortLane.size()));
		double singleEngineLimit = singleEngineMillis(request.service(), profile, this.tuning);
		boolean exceedsMemory = neededTokens(request) > Candidate.MAX_MEMORY_SHARE * profile.memoryTokens();
		if (exceedsMemory || shortLanePart > singleEngineLimit) {
			return refusedIfLate(request, placeLong(request, candidates, promptMillis));
		}
		int engineCount = 1;
		if (promptMillis > singleEngineLimit) {
			double part = this.tuning.partShare() * prefillAllowanceMillis(request.service(), profile);
			engineCount = Math.min(MAX_PREFILL_ENGINES, (int) Math.ceil(promptMillis / part));
		}
		return refusedIfLate(request, placeShort(request, candidates, shortLane, promptMillis, engineCount));
	}

	private Placement placeShort(PlacementRequest request, List<Candidate> candidates, List<Candidate> shortLane,
			double promptMillis, int engineCount) {
		int spare = SlotReserve.slotsLeftBy(request, laneEngines(request), this.demands);
		Candidate target = sample(request, shortLane, candidates, spare).stream()
			.filter((candidate) -> candidate.available() && candidate.freeTokens() >= neededTokens(request))
			.min(Comparator.comparingDouble(Candidate::shortScore))
			.orElse(null);
		if (request.service().prioritiesDiffer() && (target == null || target.freeSlots() <= spare)) {
			return Placement.waiting(promptMillis / engineCount,
					(target != null) ? "all slots taken" : "no memory free");
		}
		if (target == null) {
			return Placement.refused("no memory free", FULL_RETRY_DELAY);
		}
		int excess = target.load().active() - target.profile().slots();
		if (excess >= MAX_QUEUED_SHARE * target.profile().slots()) {
			return Placement.refused("all slots taken", FULL_RETRY_DELAY);
		}
		List<Backend> helpers = shortLane.stream()
			.filter((candidate) -> candidate != target && candidate.canHelp())
			.sorted(Comparator.comparingDouble(Candidate::prefillScore))
			.limit(engineCount - 1L)
			.map(Candidate::backend)
			.toList();
		double part = promptMillis / (helpers.size() + 1);
		double firstEvent = slotWait(request, target) + target.load().prefillMillis() + part + passMillis(target);
		return Placement.at(target.backend(), helpers, part, firstEvent, target.longLane() ? "short, spilt" : "short");
	}

	/**
	 * The engines that prefill a long prompt now.
	 * @param request the request
	 * @param lane the engines that may prefill it
	 * @param promptMillis its prefill time on one engine, ms
	 * @return the engines, or an empty list if the prompt should wait at this daemon
	 */
	private List<Candidate> prefillEngines(PlacementRequest request, List<Candidate> lane, double promptMillis) {
		if (!this.tuning.pauseBudgets()) {
			return lane;
		}
		double part = promptMillis / Math.min(MAX_PREFILL_ENGINES, lane.size());
		double target = request.route().targetLatency().toMillis();
		double overdueLimit = Math.max(this.tuning.overdueShare() * target, this.tuning.latenessFactor() * part);
		double latest = Math.max(target - millis(request.waited()), overdueLimit);
		double idleBacklog = this.tuning.idleBacklogShare()
				* request.service().streamTargets().slowestTarget().toMillis();
		return new PrefillEngineSelector(this.tuning.pauseShare(), idleBacklog).select(lane, promptMillis,
				neededTokens(request), latest);
	}

	/**
	 * A placement that keeps a prompt waiting at this daemon. Its first event is
	 * predicted for when the lane has finished the prompts ahead of it.
	 * @param request the request
	 * @param lane the engines that may prefill it
	 * @param promptMillis its prefill time on one engine, ms
	 * @return the placement
	 */
	private Placement deferred(PlacementRequest request, List<Candidate> lane, double promptMillis) {
		double backlog = lane.stream().mapToDouble((candidate) -> candidate.load().prefillMillis()).average().orElse(0);
		double ahead = request.service().prioritiesDiffer() ? 0
				: this.demands.waitingAhead(request.service().name(), promptMillis);
		long freeMemory = lane.stream().mapToLong(Candidate::freeTokens).filter((tokens) -> tokens > 0).sum();
		return Placement.waiting(
				backlog + ahead / lane.size() + promptMillis / Math.min(MAX_PREFILL_ENGINES, lane.size()),
				(freeMemory < neededTokens(request)) ? "long, no memory free" : "long, waits");
	}

	/**
	 * The engines from which the target of a short prompt is chosen: a random sample of
	 * its lane, or engines of both lanes if no engine of its lane has a free slot and
	 * enough memory.
	 * @param request the request
	 * @param shortLane its lane
	 * @param candidates all engines
	 * @param spare the free slots that the request leaves to others
	 * @return the sample
	 */
	private List<Candidate> sample(PlacementRequest request, List<Candidate> shortLane, List<Candidate> candidates,
			int spare) {
		List<Candidate> available = shortLane.stream()
			.filter((candidate) -> candidate.available() && candidate.freeSlots() > spare
					&& candidate.freeTokens() >= neededTokens(request))
			.toList();
		if (!available.isEmpty()) {
			return EngineSample.of(available, this.tuning.sampleSize(), this.random);
		}
		List<Candidate> withSlot = candidates.stream().filter((candidate) -> candidate.freeSlots() > spare).toList();
		return (spare == 0 || withSlot.isEmpty()) ? candidates : withSlot;
	}

	/**
	 * Places a long prompt. While its lane lacks a slot or memory, the prompt waits at
	 * this daemon as long as its prefill can still finish before the caller's deadline:
	 * callers retry only once, and memory becomes free as soon as one answer completes.
	 * @param request the request
	 * @param candidates all engines
	 * @param promptMillis its prefill time on one engine, ms
	 * @return the placement
	 */
	private Placement placeLong(PlacementRequest request, List<Candidate> candidates, double promptMillis) {
		List<Candidate> lane = candidates.stream()
			.filter((candidate) -> candidate.longLane() && !candidate.avoided() && candidate.canHelp())
			.toList();
		if (lane.isEmpty()) {
			lane = candidates;
		}
		List<Candidate> engines = new ArrayList<>(prefillEngines(request, lane, promptMillis));
		if (engines.isEmpty()) {
			return deferred(request, lane, promptMillis);
		}
		double smallestPart = promptMillis / Math.min(MAX_PREFILL_ENGINES, engines.size());
		engines.sort(Comparator.comparingDouble(Candidate::prefillScore));
		Candidate target = mostFreeMemory(engines);
		if (target == null) {
			target = mostFreeMemory(lane);
		}
		double minFirstEvent = FULL_RETRY_DELAY.toMillis() + smallestPart;
		if (target == null) {
			return Placement.waiting(minFirstEvent, "long, all slots taken");
		}
		Candidate chosen = target;
		engines.removeIf((candidate) -> candidate == chosen || !candidate.canHelp());
		List<MemoryHold> holds = holds(neededTokens(request) - target.freeTokens(), engines);
		if (holds == null) {
			return Placement.waiting(minFirstEvent, "long, no memory free");
		}
		List<Backend> helpers = helpers(engines, holds);
		double part = promptMillis / (helpers.size() + 1);
		double maxBacklog = engines.stream()
			.filter((candidate) -> helpers.contains(candidate.backend()))
			.mapToDouble((candidate) -> candidate.load().prefillMillis())
			.reduce(target.load().prefillMillis(), Math::max);
		return Placement.at(target.backend(), helpers, part, maxBacklog + part + passMillis(target), "long")
			.holding(holds);
	}

	/**
	 * The engine with the most free memory among those that are available and have a free
	 * slot, the nearest of equal ones.
	 * @param candidates the engines
	 * @return the engine, or null if there is none
	 */
	private static Candidate mostFreeMemory(List<Candidate> candidates) {
		return candidates.stream()
			.filter((candidate) -> candidate.available() && !candidate.full())
			.max(Comparator.comparingLong(Candidate::freeTokens)
				.thenComparing(Candidate::distanceMillis, Comparator.reverseOrder()))
			.orElse(null);
	}

	/**
	 * The helper engines, those with a memory hold first. All available engines help, up
	 * to the limit: an engine processes several small parts in one pass, so more helpers
	 * make the parts smaller and delay no other request.
	 * @param engines the engines other than the target, those with the lowest prefill
	 * score first
	 * @param holds the memory held on some of them
	 * @return the engines
	 */
	private static List<Backend> helpers(List<Candidate> engines, List<MemoryHold> holds) {
		List<Backend> helpers = new ArrayList<>(holds.stream().map(MemoryHold::engine).toList());
		for (Candidate candidate : engines) {
			if (helpers.size() < MAX_PREFILL_ENGINES - 1 && !helpers.contains(candidate.backend())) {
				helpers.add(candidate.backend());
			}
		}
		return helpers;
	}

	/**
	 * The memory to hold on other engines for the part that exceeds the target's free
	 * memory.
	 * @param tokens the KV-cache tokens that don't fit on the target; zero or less if all
	 * fit
	 * @param engines the other engines
	 * @return holds on as few engines as possible, or null if their free memory does not
	 * suffice
	 */
	private static List<MemoryHold> holds(long tokens, List<Candidate> engines) {
		List<MemoryHold> holds = new ArrayList<>();
		long remaining = tokens;
		List<Candidate> byMemory = new ArrayList<>(engines);
		byMemory.sort(Comparator.comparingLong(Candidate::freeTokens).reversed());
		for (Candidate candidate : byMemory) {
			if (remaining > 0 && candidate.available() && candidate.freeTokens() > 0
					&& holds.size() < MAX_PREFILL_ENGINES - 1) {
				long part = Math.min(remaining, candidate.freeTokens());
				holds.add(new MemoryHold(candidate.backend(), part));
				remaining -= part;
			}
		}
		return (remaining > 0) ? null : holds;
	}

	private static double slotWait(PlacementRequest request, Candidate target) {
		int excess = target.load().active() - target.profile().slots();
		if (excess < 0) {
			return 0;
		}
		int slots = target.profile().slots();
		return (excess + 1.0) / slots * target.profile().decodeMillis(Math.max(1, request.outputTokens()), slots);
	}

	private static double passMillis(Candidate target) {
		return target.profile().passMillis(target.load().active(), target.load().tokens());
	}

	private static double millis(Duration duration) {
		return duration.toNanos() / NANOS_PER_MILLI;
	}

	private static long neededTokens(PlacementRequest request) {
		return request.promptTokens() + request.outputTokens();
	}

	private static Placement refusedIfLate(PlacementRequest request, Placement placement) {
		double timeLeft = millis(request.timeLeft());
		double late = placement.firstEventMillis() - timeLeft;
		if ((placement.target().isEmpty() && !placement.waits()) || late <= 0) {
			return placement;
		}
		Duration retryDelay = Duration.ofMillis(Math.min(MAX_RETRY_DELAY.toMillis(), Math.round(late) + 100));
		return Placement.refused("first event predicted in " + Math.round(placement.firstEventMillis()) + " ms",
				retryDelay);
	}

	/**
	 * The engines of a request's service that it may use and has not been sent to yet.
	 * Engines that take no work or little belong to no lane, since a lane's size is
	 * derived from the work that its engines can take. Engines that only this request may
	 * not use stay in their lane.
	 * @param request the request
	 * @param profile the profile of the engines
	 * @return the candidates
	 */
	private List<Candidate> candidates(PlacementRequest request, EngineProfile profile) {
		List<Backend> usable = this.backends.usable(request.service().name());
		EndpointRules rules = request.rules();
		RequestScope scope = request.scope();
		Map<EndpointStart, Integer> positions = LanePositions.of(usable.stream().filter(rules::belongsToLane).toList(),
				rules::laneGroup);
		LanePlan plan = LanePlan.of(positions.size(), profile.slots(),
				this.demands.shortActive(request.service().name()), this.tuning.shortLaneFill(),
				this.tuning.shortLaneFillWithSpare());
		List<Candidate> candidates = new ArrayList<>();
		for (Backend backend : usable) {
			EndpointStart endpoint = backend.start();
			Integer position = positions.get(endpoint);
			boolean longLane = position != null && this.tuning.separateLanes() && plan.isLong(position);
			if (!request.tried().contains(endpoint) && !rules.excludes(backend, scope)) {
				double distance = distanceMillis(request, profile, backend);
				double penalty = FAILURE_PENALTY_MILLIS * this.health.failures(endpoint);
				candidates.add(new Candidate(backend, this.loads.load(endpoint), longLane, this.health.avoid(endpoint),
						rules.permitsHelp(backend, scope), rules.permits(backend, scope), penalty, distance, profile));
			}
		}
		return candidates;
	}

	private int laneEngines(PlacementRequest request) {
		List<Backend> usable = this.backends.usable(request.service().name());
		return (int) usable.stream().filter(request.rules()::belongsToLane).count();
	}

	/**
	 * The round trip to an engine, or 0 if callers would not notice it.
	 * @param request the request
	 * @param profile the profile of the engine
	 * @param backend the engine
	 * @return ms
	 */
	private static double distanceMillis(PlacementRequest request, EngineProfile profile, Backend backend) {
		double roundTrip = profile.delays().roundTripMillis(request.localDataCentre(), backend.dataCentre());
		double noticeable = NOTICEABLE_DELAY_SHARE * request.service().streamTargets().strictestPause().toMillis();
		return (roundTrip < noticeable) ? 0 : roundTrip;
	}

}
