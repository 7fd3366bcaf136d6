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
 * different lengths on different endpoints.
 *
 * <p>
 * Invariants: a candidate without room in its grant is never chosen; a choice to wait
 * still carries the prediction for the best candidate, so that admission can compare it
 * with the deadline. Lists of candidates that have an endpoint in common belong to one
 * pool. Confined to the scheduler's thread.
 */
public final class PredictivePolicy implements RoutingPolicy {

	private final Clock clock;

	private final IntSupplier position;

	private final boolean lanes;

	private final boolean queueing;

	private final Map<EndpointId, PoolState> pools = new HashMap<>();

	private final PrefixCacheTracker prefixes = new PrefixCacheTracker();

	private PredictivePolicy(Builder builder) {
		this.clock = builder.clock;
		this.position = builder.position;
		this.lanes = builder.lanes;
		this.queueing = builder.queueing;
		if (builder.speeds != null) {
			builder.speeds.onObserved(this::observe);
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
			if (score < bestScore && decision.eligible(i, this.lanes, this.queueing)) {
				best = i;
				bestScore = score;
			}
		}
		RoutingChoice choice = decision.choice(best, (best >= 0) ? best : soonest);
		if (best >= 0) {
			this.prefixes.recordSent(request.prefix(), candidates.get(best).endpoint(), request.promptTokens());
		}
		return choice;
	}

	private void observe(EndpointId endpoint, Observation observation) {
		PoolState pool = this.pools.get(endpoint);
		if (pool != null && Lane.of(observation.promptTokens()) == Lane.SHORT) {
			pool.observe(endpoint, observation);
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

		private SpeedEstimator speeds;

		private boolean lanes = true;

		private boolean queueing = true;

		private Builder(Clock clock) {
			this.clock = clock;
		}

		/**
		 * Sets the position of this daemon among all daemons, so that daemons prefer
		 * different ones of equally good endpoints.
		 * @param supplier supplies the position in the sorted list of daemons, from 0
		 * @return this builder
		 */
		public Builder position(IntSupplier supplier) {
			this.position = supplier;
			return this;
		}

		/**
		 * Sets the source of observations, from which the policy estimates whether the
		 * endpoints apply priorities.
		 * @param estimator the daemon's speed estimator
		 * @return this builder
		 */
		public Builder speeds(SpeedEstimator estimator) {
			this.speeds = estimator;
			return this;
		}

		/**
		 * Sets whether prompts of different lengths are kept on different endpoints.
		 * @param on whether to use lanes
		 * @return this builder
		 */
		public Builder lanes(boolean on) {
			this.lanes = on;
			return this;
		}

		/**
		 * Sets whether longer prompts wait at the daemon rather than at a busy endpoint.
		 * @param on whether to queue at the daemon
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
