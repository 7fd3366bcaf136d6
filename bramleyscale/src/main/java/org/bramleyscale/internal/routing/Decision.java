package org.bramleyscale.internal.routing;

import java.util.List;

/**
 * One routing decision: the request, the candidates and the state of their pool.
 *
 * <p>
 * Times are in seconds. Confined to the scheduler's thread.
 */
final class Decision {

	/** Backlog of an endpoint in tokens above which longer prompts wait at the daemon. */
	private static final double MAX_BACKLOG_TOKENS = 4_096;

	private static final double NANOS_PER_SECOND = 1e9;

	private final RoutingRequest request;

	private final List<Candidate> candidates;

	private final PoolState pool;

	private final PrefixCacheTracker prefixes;

	private final int position;

	private final Lane lane;

	Decision(RoutingRequest request, List<Candidate> candidates, PoolState pool, PrefixCacheTracker prefixes,
			int position) {
		this.request = request;
		this.candidates = candidates;
		this.pool = pool;
		this.prefixes = prefixes;
		this.position = position;
		this.lane = Lane.of(request.promptTokens());
	}

	/**
	 * Returns whether a candidate may be chosen.
	 * @param index the candidate
	 * @param lanes whether lanes are in use
	 * @param queueing whether longer prompts wait at the daemon
	 * @return whether the candidate is eligible
	 */
	boolean eligible(int index, boolean lanes, boolean queueing) {
		Candidate candidate = this.candidates.get(index);
		if (candidate.grantSlots() <= 0 || candidate.grantKvTokens() < this.request.kvTokens()) {
			return false;
		}
		if (candidate.readmitting() && candidate.ownInFlight() > 0) {
			return false;
		}
		if (this.lane == Lane.SHORT) {
			return true;
		}
		if (lanes && !this.pool.admits(this.lane, index)) {
			return false;
		}
		return !queueing || backlogSeconds(index) <= maxBacklogSeconds(index);
	}

	/**
	 * Returns the score of a candidate: the predicted time to first token, the expected
	 * interference and a bias that breaks ties.
	 * @param index the candidate
	 * @param lanes whether lanes are in use
	 * @return the score in seconds; the lowest is the best
	 */
	double score(int index, boolean lanes) {
		double interference = lanes ? this.pool.interferenceSeconds(this.lane, index) : 0;
		return firstTokenSeconds(index) + interference + tieBreakSeconds(index);
	}

	RoutingChoice choice(int chosen, int predicted) {
		double first = firstTokenSeconds(predicted);
		double finish = first + this.request.maxTokens() * this.pool.step(this.candidates.get(predicted));
		return new RoutingChoice(chosen, (long) (first * NANOS_PER_SECOND), (long) (finish * NANOS_PER_SECOND));
	}

	private double firstTokenSeconds(int index) {
		Candidate candidate = this.candidates.get(index);
		if (this.request.promptTokens() == 0) {
			return callSeconds(candidate);
		}
		double prefillTokens = this.request.promptTokens();
		if (this.request.prefix() != 0 && this.prefixes.isCached(this.request.prefix(), candidate.endpoint())) {
			prefillTokens = Math.max(1, prefillTokens - this.request.prefixTokens());
		}
		return this.pool.step(candidate) + backlogSeconds(index) + prefillTokens / this.pool.speed(index)
				+ candidate.penaltySeconds();
	}

	// Calls of plain services have no prompt; only the number of requests counts.
	private double callSeconds(Candidate candidate) {
		int load = Math.max(candidate.ownInFlight(), candidate.running() + candidate.waiting());
		double rounds = 1 + (double) load / Math.max(1, candidate.slots());
		return this.pool.callSeconds() * rounds + candidate.penaltySeconds();
	}

	// The reported backlog, less the time since the report, plus what this daemon has
	// sent since.
	private double backlogSeconds(int index) {
		Candidate candidate = this.candidates.get(index);
		double reported = candidate.queuedPrefillTokens() / this.pool.speed(index);
		double seconds = Math.max(0, reported - reportAgeSeconds(candidate))
				+ candidate.ownPrefillTokens() / this.pool.speed(index);
		return seconds * this.pool.waitedFraction(this.lane, index);
	}

	// The reported backlog may be complete by the time the prompt arrives.
	private double maxBacklogSeconds(int index) {
		return Math.max(MAX_BACKLOG_TOKENS / this.pool.speed(index), reportAgeSeconds(this.candidates.get(index)));
	}

	// A small bias that differs between daemons, so that daemons with the same view don't
	// all choose the same one of equally good endpoints.
	private double tieBreakSeconds(int index) {
		LanePlan plan = this.pool.plan();
		int size = plan.size(plan.lane(index));
		int offset = Math.floorMod(plan.rank(index) - this.position, size);
		return this.pool.step(this.candidates.get(index)) * offset / size;
	}

	private static double reportAgeSeconds(Candidate candidate) {
		return Math.max(0, candidate.reportAgeNanos()) / NANOS_PER_SECOND;
	}

}
