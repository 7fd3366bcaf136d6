package org.bramleyscale.internal.routing;

import java.util.List;

/**
 * One routing decision: the request, the candidates and what is known of their pool.
 *
 * <p>
 * Times are in seconds. Confined to the scheduler's thread.
 */
final class Decision {

	/** Work ahead, in tokens, from which a longer prompt rather waits at the entry. */
	private static final double LONGEST_AHEAD_TOKENS = 4_096;

	private static final double NANOS = 1e9;

	private final RoutingRequest request;

	private final List<Candidate> candidates;

	private final PoolState pool;

	private final PrefixMemory prefixes;

	private final int position;

	private final Lane lane;

	Decision(RoutingRequest request, List<Candidate> candidates, PoolState pool, PrefixMemory prefixes, int position) {
		this.request = request;
		this.candidates = candidates;
		this.pool = pool;
		this.prefixes = prefixes;
		this.position = position;
		this.lane = Lane.of(request.promptTokens());
	}

	/**
	 * Whether a candidate may be chosen.
	 * @param index the candidate
	 * @param lanes whether lengths are kept apart
	 * @param queueing whether longer prompts wait at the entry
	 * @return true if it may
	 */
	boolean open(int index, boolean lanes, boolean queueing) {
		Candidate candidate = this.candidates.get(index);
		if (candidate.grantSlots() <= 0 || candidate.grantKv() < this.request.kvTokens()) {
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
		return !queueing || ahead(index) <= longestAhead(index);
	}

	/**
	 * The predicted time to first token and what speaks against the candidate besides.
	 * @param index the candidate
	 * @param lanes whether lengths are kept apart
	 * @return the score; the smallest wins
	 */
	double score(int index, boolean lanes) {
		double interference = lanes ? this.pool.interference(this.lane, index) : 0;
		return firstToken(index) + interference + preference(index);
	}

	RoutingChoice choice(int chosen, int predicted) {
		double first = firstToken(predicted);
		double finish = first + this.request.maxTokens() * this.pool.step(this.candidates.get(predicted));
		return new RoutingChoice(chosen, (long) (first * NANOS), (long) (finish * NANOS));
	}

	private double firstToken(int index) {
		Candidate candidate = this.candidates.get(index);
		if (this.request.promptTokens() == 0) {
			return reply(candidate);
		}
		double own = this.request.promptTokens();
		if (this.request.prefix() != 0 && this.prefixes.cached(this.request.prefix(), candidate.endpoint())) {
			own = Math.max(1, own - this.request.prefixTokens());
		}
		return this.pool.step(candidate) + ahead(index) + own / this.pool.speed(index) + candidate.penaltySeconds();
	}

	// Calls of plain services have no length; only their number counts.
	private double reply(Candidate candidate) {
		int load = Math.max(candidate.ownInFlight(), candidate.running() + candidate.waiting());
		double rounds = 1 + (double) load / Math.max(1, candidate.slots());
		return this.pool.replySeconds() * rounds + candidate.penaltySeconds();
	}

	// What was queued by the report, less what was done since, and what this entry has
	// sent since.
	private double ahead(int index) {
		Candidate candidate = this.candidates.get(index);
		double reported = candidate.queuedPrefillTokens() / this.pool.speed(index);
		double ahead = Math.max(0, reported - age(candidate)) + candidate.ownPrefillTokens() / this.pool.speed(index);
		return ahead * this.pool.blockedPart(this.lane, index);
	}

	// What the report shows ahead may be done by the time the prompt arrives.
	private double longestAhead(int index) {
		return Math.max(LONGEST_AHEAD_TOKENS / this.pool.speed(index), age(this.candidates.get(index)));
	}

	// A small bias that differs between entries, so that entries with the same view don't
	// all choose the same endpoint among equals.
	private double preference(int index) {
		LanePlan plan = this.pool.plan();
		int size = plan.size(plan.lane(index));
		int place = Math.floorMod(plan.rank(index) - this.position, size);
		return this.pool.step(this.candidates.get(index)) * place / size;
	}

	private static double age(Candidate candidate) {
		return Math.max(0, candidate.reportAgeNanos()) / NANOS;
	}

}
