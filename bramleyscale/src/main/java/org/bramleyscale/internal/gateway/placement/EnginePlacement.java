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
import org.bramleyscale.internal.gateway.load.DemandBoard;
import org.bramleyscale.internal.gateway.load.EndpointLoad;
import org.bramleyscale.internal.gateway.load.LoadBoard;

/**
 * Sends short prompts to the engine that reads them first, and has long ones read by
 * several engines at once, apart from the short ones.
 *
 * <p>
 * Invariants: an engine gets no prompt that its memory can't hold beside what it has; a
 * request whose first event is predicted after its caller has left is refused at once.
 * Confined to the scheduler's thread.
 */
public final class EnginePlacement implements PlacementPolicy {

	/**
	 * A prompt that takes longer to read is long. The usual short route allows pauses of
	 * 250 ms; less a pass of 45 ms without reading this is what a pause has room for.
	 */
	static final double SHORT_READ_MILLIS = 205;

	/** The protocol's bound on engines that help to read, less none: 16 and the target. */
	static final int MOST_READERS = 17;

	/** Part of an engine's memory that is promised; answers grow beyond what was declared. */
	static final double USED_MEMORY = 0.92;

	/** What each request under way adds to an engine's score, ms: it takes a slot. */
	private static final double ACTIVE_MILLIS = 12;

	/** What a recent failure adds to an engine's score, ms. */
	private static final double FAILURE_MILLIS = 150;

	/** Scores are spread by this, so that daemons don't all choose the same engine, ms. */
	private static final double JITTER_MILLIS = 8;

	/** Requests that wait at a full engine, as a part of its slots. */
	private static final double MOST_WAITING = 0.5;

	private static final Duration FULL_PAUSE = Duration.ofMillis(700);

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
	 * Whether a prompt counts as long.
	 * @param profile the engine
	 * @param promptTokens the prompt's length
	 * @return true if it is kept apart from short ones
	 */
	public static boolean isLong(EngineProfile profile, long promptTokens) {
		return profile.readMillis(promptTokens) > SHORT_READ_MILLIS;
	}

	@Override
	public Placement place(PlacementRequest request) {
		EngineProfile profile = request.service().engine().orElseThrow();
		List<Candidate> candidates = candidates(request, profile);
		if (candidates.isEmpty()) {
			boolean none = this.backends.usable(request.service().name()).isEmpty();
			return Placement.refused(none ? "no endpoint" : "no other endpoint", PlainPlacement.NO_ENDPOINT_PAUSE);
		}
		long needed = request.promptTokens() + request.outputTokens();
		if (needed > USED_MEMORY * profile.memoryTokens()) {
			return Placement.refused("larger than an engine's memory", FULL_PAUSE);
		}
		return isLong(profile, request.promptTokens()) ? placeLong(request, profile, candidates)
				: placeShort(request, profile, candidates);
	}

	private Placement placeShort(PlacementRequest request, EngineProfile profile, List<Candidate> candidates) {
		double read = profile.readMillis(request.promptTokens());
		long needed = request.promptTokens() + request.outputTokens();
		Candidate best = null;
		for (Candidate candidate : candidates) {
			if (candidate.fits(needed, profile) && (best == null || candidate.shortScore() < best.shortScore())) {
				best = candidate;
			}
		}
		if (best == null) {
			return Placement.refused("no memory free", FULL_PAUSE);
		}
		double full = best.load().active() - profile.slots();
		if (full >= MOST_WAITING * profile.slots()) {
			return Placement.refused("all slots taken", FULL_PAUSE);
		}
		double wait = (full >= 0) ? (full + 1) / profile.slots()
				* profile.writeMillis(Math.max(1, request.outputTokens()), profile.slots()) : 0;
		double first = wait + best.load().readMillis() + read + profile.passMillis(best.load().active(), 0);
		return checked(request, profile, Placement.at(best.backend(), List.of(), read, first,
				best.longLane() ? "short, spilt" : "short"));
	}

	private Placement placeLong(PlacementRequest request, EngineProfile profile, List<Candidate> candidates) {
		double read = profile.readMillis(request.promptTokens());
		long needed = request.promptTokens() + request.outputTokens();
		List<Candidate> readers = new ArrayList<>(
				candidates.stream().filter((candidate) -> candidate.longLane() && !candidate.avoided()).toList());
		if (readers.isEmpty()) {
			readers.addAll(candidates);
		}
		readers.sort(Comparator.comparingDouble(Candidate::readScore));
		int count = readerCount(readers, read);
		double part = read / count;
		double first = readers.get(count - 1).load().readMillis() + part
				+ profile.passMillis(profile.slots() / 2, request.promptTokens());
		List<Candidate> group = new ArrayList<>(readers.subList(0, count));
		Candidate target = group.stream()
			.filter((candidate) -> candidate.fits(needed, profile) && candidate.load().active() < profile.slots())
			.min(Comparator.comparingLong((candidate) -> candidate.load().tokens()))
			.orElse(null);
		if (target == null) {
			target = readers.stream()
				.filter((candidate) -> candidate.fits(needed, profile)
						&& candidate.load().active() < (1 + MOST_WAITING) * profile.slots())
				.findFirst()
				.orElse(null);
			if (target == null) {
				return Placement.refused("no memory free", FULL_PAUSE);
			}
		}
		group.remove(target);
		List<Backend> helpers = group.stream()
			.limit(count - 1L)
			.map(Candidate::backend)
			.toList();
		return checked(request, profile, Placement.at(target.backend(), helpers, part, first, "long"));
	}

	/**
	 * The number of engines that brings the first event soonest: one more makes the parts
	 * smaller, but the prompt is read only when the busiest of them has read its part.
	 * @param readers the engines, those with the least to read first
	 * @param read the whole reading, ms
	 * @return the number
	 */
	private static int readerCount(List<Candidate> readers, double read) {
		int best = 1;
		double soonest = Double.POSITIVE_INFINITY;
		for (int count = 1; count <= Math.min(MOST_READERS, readers.size()); count++) {
			double end = readers.get(count - 1).readScore() + read / count;
			if (end < soonest) {
				soonest = end;
				best = count;
			}
		}
		return best;
	}

	private Placement checked(PlacementRequest request, EngineProfile profile, Placement placement) {
		double left = request.left().toNanos() / NANOS_PER_MILLI;
		double patience = request.route().patience().toNanos() / NANOS_PER_MILLI;
		double limit = Math.min(left, patience);
		if (placement.firstMillis() > limit) {
			Duration pause = Duration.ofMillis(Math.min(2_000, (long) (placement.firstMillis() - limit) + 100));
			return Placement.refused("first event predicted in " + Math.round(placement.firstMillis()) + " ms", pause);
		}
		return placement;
	}

	private List<Candidate> candidates(PlacementRequest request, EngineProfile profile) {
		List<Backend> usable = this.backends.usable(request.service().name());
		LanePlan plan = LanePlan.of(usable.size(), profile.slots(),
				this.demands.shortActive(request.service().name()),
				this.demands.longEngines(request.service().name()));
		List<Candidate> candidates = new ArrayList<>();
		for (int i = 0; i < usable.size(); i++) {
			Backend backend = usable.get(i);
			if (!request.tried().contains(backend.id())) {
				EndpointLoad load = this.loads.load(backend.id());
				double extra = FAILURE_MILLIS * this.health.failures(backend.id())
						+ JITTER_MILLIS * this.random.nextDouble();
				candidates.add(new Candidate(backend, load, plan.isLong(i), this.health.avoid(backend.id()), extra,
						profile.slots()));
			}
		}
		return candidates;
	}

	/**
	 * An engine that may take the request.
	 *
	 * @param backend the engine
	 * @param load what it has to do
	 * @param longLane whether long prompts go there
	 * @param avoided whether it failed lately
	 * @param extra what failures and chance add to its score, ms
	 * @param slots how many requests it runs at once
	 */
	private record Candidate(Backend backend, EndpointLoad load, boolean longLane, boolean avoided, double extra,
			int slots) {

		private static final double AVOIDED_MILLIS = 100_000;

		private static final double OTHER_LANE_MILLIS = 1_000;

		private static final double FULL_MILLIS = 4_000;

		double shortScore() {
			double score = readScore() + ACTIVE_MILLIS * this.load.active();
			if (this.longLane) {
				score += OTHER_LANE_MILLIS;
			}
			if (this.load.active() >= this.slots) {
				score += FULL_MILLIS;
			}
			return score;
		}

		double readScore() {
			return this.load.readMillis() + this.extra + (this.avoided ? AVOIDED_MILLIS : 0);
		}

		boolean fits(long tokens, EngineProfile profile) {
			return this.load.tokens() + tokens <= USED_MEMORY * profile.memoryTokens();
		}

	}

}
