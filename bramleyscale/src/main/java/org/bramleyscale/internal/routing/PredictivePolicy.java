package org.bramleyscale.internal.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.time.Clock;

/**
 * Chooses the endpoint with the earliest predicted first token, and keeps prompts of
 * unlike lengths on different endpoints.
 *
 * <p>
 * Invariants: a candidate without room in its grant is never chosen; a choice that waits
 * still carries the prediction for the best candidate, so that admission can compare it
 * with the deadline. Candidates that share an endpoint belong to one pool. Confined to
 * the scheduler's thread.
 */
public final class PredictivePolicy implements RoutingPolicy {

	/** Work ahead from which a longer prompt rather waits at the entry. */
	private static final double LONGEST_AHEAD_SECONDS = 1;

	/** The same, in ages of the report: what was seen ahead may be done by now. */
	private static final double LONGEST_AHEAD_AGES = 2;

	private static final double NANOS = 1e9;

	private final Clock clock;

	private final IntSupplier position;

	private final boolean lanes;

	private final boolean queueing;

	private final Map<EndpointId, PoolState> pools = new HashMap<>();

	private final PrefixMemory prefixes = new PrefixMemory();

	private PredictivePolicy(Builder builder) {
		this.clock = builder.clock;
		this.position = builder.position;
		this.lanes = builder.lanes;
		this.queueing = builder.queueing;
	}

	public static Builder builder(Clock clock) {
		return new Builder(clock);
	}

	@Override
	public RoutingChoice choose(RoutingRequest request, List<Candidate> candidates, RandomGenerator random) {
		if (candidates.isEmpty()) {
			return RoutingChoice.WAIT;
		}
		PoolState pool = pool(candidates);
		pool.update(candidates);
		Lane lane = Lane.of(request.promptTokens());
		int best = -1;
		int soonest = 0;
		double bestScore = Double.POSITIVE_INFINITY;
		double soonestScore = Double.POSITIVE_INFINITY;
		for (int i = 0; i < candidates.size(); i++) {
			double score = score(request, pool, candidates.get(i), i, lane);
			if (score < soonestScore) {
				soonest = i;
				soonestScore = score;
			}
			if (score < bestScore && open(request, pool, candidates.get(i), i, lane)) {
				best = i;
				bestScore = score;
			}
		}
		if (best >= 0) {
			return placed(request, pool, candidates.get(best), best);
		}
		return choice(request, pool, candidates.get(soonest), soonest, -1);
	}

	private RoutingChoice placed(RoutingRequest request, PoolState pool, Candidate candidate, int index) {
		RoutingChoice choice = choice(request, pool, candidate, index, index);
		this.prefixes.sent(request.prefix(), candidate.endpoint(), request.promptTokens());
		return choice;
	}

	private boolean open(RoutingRequest request, PoolState pool, Candidate candidate, int index, Lane lane) {
		if (candidate.grantSlots() <= 0 || candidate.grantKv() < request.kvTokens()) {
			return false;
		}
		if (lane == Lane.SHORT) {
			return true;
		}
		if (this.lanes && pool.plan().lane(index).compareTo(lane) < 0) {
			return false;
		}
		return !this.queueing || aheadSeconds(pool, candidate, index) <= longestAhead(candidate);
	}

	private static double longestAhead(Candidate candidate) {
		return Math.max(LONGEST_AHEAD_SECONDS, LONGEST_AHEAD_AGES * candidate.reportAgeNanos() / NANOS);
	}

	private double score(RoutingRequest request, PoolState pool, Candidate candidate, int index, Lane lane) {
		double seconds = firstTokenSeconds(request, pool, candidate, index);
		Lane other = pool.plan().lane(index);
		if (this.lanes && other.compareTo(lane) > 0) {
			// Prompts of that lane may arrive there before the report shows them.
			seconds += other.typicalTokens() / pool.speed(index);
		}
		return seconds + preference(pool, index) * pool.step(candidate);
	}

	// A small bias that differs between entries, so that entries with the same view don't
	// all choose the same endpoint among equals.
	private double preference(PoolState pool, int index) {
		int size = pool.plan().size(pool.plan().lane(index));
		int place = Math.floorMod(pool.plan().rank(index) - this.position.getAsInt(), size);
		return (double) place / size;
	}

	private double firstTokenSeconds(RoutingRequest request, PoolState pool, Candidate candidate, int index) {
		double own = request.promptTokens();
		if (request.prefix() != 0 && this.prefixes.cached(request.prefix(), candidate.endpoint())) {
			own = Math.max(1, own - request.prefixTokens());
		}
		return pool.step(candidate) + aheadSeconds(pool, candidate, index) + own / pool.speed(index)
				+ candidate.penaltySeconds();
	}

	// What was queued by the report less what was done since, and what this entry has
	// sent
	// since.
	private static double aheadSeconds(PoolState pool, Candidate candidate, int index) {
		double age = Math.max(0, candidate.reportAgeNanos()) / NANOS;
		double reported = candidate.queuedPrefillTokens() / pool.speed(index);
		return Math.max(0, reported - age) + candidate.ownPrefillTokens() / pool.speed(index);
	}

	private RoutingChoice choice(RoutingRequest request, PoolState pool, Candidate candidate, int index, int chosen) {
		double first = firstTokenSeconds(request, pool, candidate, index);
		double finish = first + request.maxTokens() * pool.step(candidate);
		return new RoutingChoice(chosen, (long) (first * NANOS), (long) (finish * NANOS));
	}

	private PoolState pool(List<Candidate> candidates) {
		PoolState known = this.pools.get(candidates.get(0).endpoint());
		for (int i = 1; known == null && i < candidates.size(); i++) {
			known = this.pools.get(candidates.get(i).endpoint());
		}
		PoolState pool = (known != null) ? known : new PoolState(this.clock);
		if (known == null || this.pools.get(candidates.get(candidates.size() - 1).endpoint()) != known) {
			candidates.forEach((candidate) -> this.pools.put(candidate.endpoint(), pool));
		}
		return pool;
	}

	/**
	 * Collects settings; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private final Clock clock;

		private IntSupplier position = () -> 0;

		private boolean lanes = true;

		private boolean queueing = true;

		private Builder(Clock clock) {
			this.clock = clock;
		}

		/**
		 * Sets where this entry stands among the entries, so that entries prefer
		 * different endpoints among equals.
		 * @param supplier supplies the position in the sorted list of entries, from 0
		 * @return this builder
		 */
		public Builder position(IntSupplier supplier) {
			this.position = supplier;
			return this;
		}

		/**
		 * Sets whether prompts of unlike lengths are kept on different endpoints.
		 * @param on true to keep them apart
		 * @return this builder
		 */
		public Builder lanes(boolean on) {
			this.lanes = on;
			return this;
		}

		/**
		 * Sets whether longer prompts wait at the entry rather than at a busy endpoint.
		 * @param on true to wait at the entry
		 * @return this builder
		 */
		public Builder queueing(boolean on) {
			this.queueing = on;
			return this;
		}

		public PredictivePolicy build() {
			return new PredictivePolicy(this);
		}

	}

}
