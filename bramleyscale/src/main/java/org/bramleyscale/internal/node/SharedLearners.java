package org.bramleyscale.internal.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Observation;
import org.bramleyscale.internal.endpoint.pool.EndpointLearner;
import org.bramleyscale.internal.routing.EndpointHealth;
import org.bramleyscale.internal.routing.SpeedEstimator;
import org.bramleyscale.internal.time.Clock;

/**
 * Gives the endpoint pool what routing learns of each endpoint.
 *
 * <p>
 * Health is judged among the endpoints of one service, so that general overload ejects
 * nobody; the judgement is renewed at most ten times a second. Confined to the
 * scheduler's thread.
 */
final class SharedLearners implements Function<EndpointId, EndpointLearner> {

	private static final long JUDGEMENT_NANOS = 100_000_000;

	private final ConfigurationSource configuration;

	private final SpeedEstimator speeds;

	private final EndpointHealth health;

	private final Map<ServiceName, Judgement> judgements = new HashMap<>();

	SharedLearners(Clock clock, ConfigurationSource configuration, SpeedEstimator speeds, MetricRegistry metrics) {
		this.speeds = speeds;
		this.configuration = configuration;
		this.health = new EndpointHealth(clock, metrics);
		configuration.onChange(this::forgetOthers);
	}

	@Override
	public EndpointLearner apply(EndpointId endpoint) {
		return new Learner(endpoint);
	}

	private void forgetOthers(Configuration current) {
		List<EndpointId> known = current.register().endpoints().stream().map(EndpointEntry::name).toList();
		this.speeds.retain(known);
		this.health.retain(known);
		this.judgements.clear();
	}

	private boolean ejected(EndpointId endpoint, long now) {
		return this.configuration.current()
			.endpoint(endpoint)
			.map((entry) -> !judgement(entry.service(), now).usable().contains(endpoint))
			.orElse(false);
	}

	private Judgement judgement(ServiceName service, long now) {
		Judgement last = this.judgements.get(service);
		if (last != null && now - last.at() < JUDGEMENT_NANOS) {
			return last;
		}
		List<EndpointId> all = this.configuration.current()
			.endpoints(service)
			.stream()
			.map(EndpointEntry::name)
			.toList();
		Judgement fresh = new Judgement(now, new HashSet<>(this.health.usable(all)));
		this.judgements.put(service, fresh);
		return fresh;
	}

	/**
	 * The endpoints of one service that may be used, as judged at one time.
	 *
	 * @param at the monotonic time in nanoseconds
	 * @param usable the endpoints
	 */
	private record Judgement(long at, Set<EndpointId> usable) {
	}

	/**
	 * What is learnt of one endpoint.
	 */
	private final class Learner implements EndpointLearner {

		private final EndpointId endpoint;

		private Learner(EndpointId endpoint) {
			this.endpoint = endpoint;
		}

		@Override
		public void observed(Observation observation, long now) {
			SharedLearners.this.speeds.observe(this.endpoint, observation);
			SharedLearners.this.health.observe(this.endpoint, observation);
		}

		@Override
		public void overdue(Duration waited, Duration predicted) {
			SharedLearners.this.health.observeOverdue(this.endpoint, waited, predicted);
		}

		@Override
		public double prefillTokensPerSecond() {
			return SharedLearners.this.speeds.prefillTokensPerSecond(this.endpoint);
		}

		@Override
		public double stepSeconds() {
			return SharedLearners.this.speeds.stepSeconds(this.endpoint);
		}

		@Override
		public double penaltySeconds(long now) {
			return SharedLearners.this.health.penaltySeconds(this.endpoint);
		}

		@Override
		public boolean ejected(long now) {
			return SharedLearners.this.ejected(this.endpoint, now);
		}

		@Override
		public boolean readmitting(long now) {
			return SharedLearners.this.health.readmitting(this.endpoint);
		}

	}

}
