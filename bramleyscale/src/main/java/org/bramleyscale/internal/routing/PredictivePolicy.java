package org.bramleyscale.internal.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.endpoint.Observation;
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
		if (builder.speeds != null) {
			builder.speeds.onObserved(this::observed);
		}
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
		Decision decision = new Decision(request, candidates, pool, this.prefixes, this.position.getAsInt());
		int best = -1;
		int soonest = 0;
		double bestScore = Double.POSITIVE_INFINITY;
		double soonestScore = Double.POSITIVE_INFINITY;
		for (int i = 0; i < candidates.size(); i++) {
			double score = decision.score(i, this.lanes);
			if (score < soonestScore) {
				soonest = i;
				soonestScore = score;
			}
			if (score < bestScore && decision.open(i, this.lanes, this.queueing)) {
				best = i;
				bestScore = score;
			}
		}
		RoutingChoice choice = decision.choice(best, (best >= 0) ? best : soonest);
		if (best >= 0) {
			this.prefixes.sent(request.prefix(), candidates.get(best).endpoint(), request.promptTokens());
		}
		return choice;
	}

	private void observed(EndpointId endpoint, Observation observation) {
		PoolState pool = this.pools.get(endpoint);
		if (pool != null && Lane.of(observation.promptTokens()) == Lane.SHORT) {
			pool.observed(endpoint, observation);
		}
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

		private SpeedLearner speeds;

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
		 * Sets where observations come from, to learn whether the endpoints honour
		 * priorities.
		 * @param learner the entry's learner of speeds
		 * @return this builder
		 */
		public Builder speeds(SpeedLearner learner) {
			this.speeds = learner;
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
