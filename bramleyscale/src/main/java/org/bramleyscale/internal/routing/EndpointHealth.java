package org.bramleyscale.internal.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.endpoint.Observation;
import org.bramleyscale.internal.time.Clock;

/**
 * Ejects endpoints that answer late or fail although they report that they are healthy,
 * and re-admits them gradually.
 *
 * <p>
 * Lateness is measured against the prediction and against the other endpoints of the same
 * service, so that general overload ejects none. Invariant: of the endpoints of one
 * service at most {@link #MAX_EJECTED_SHARE} are excluded from new requests at a time.
 * Confined to the scheduler's thread.
 */
public final class EndpointHealth {

	/** The maximum share of a service's endpoints that are ejected at a time. */
	public static final double MAX_EJECTED_SHARE = 0.34;

	/**
	 * Lateness relative to the median, as a factor, above which an endpoint is ejected.
	 */
	private static final double EJECTION_FACTOR = 3;

	private final Clock clock;

	private final Counter ejections;

	private final Counter readmissions;

	private final Map<EndpointId, HealthRecord> records = new HashMap<>();

	public EndpointHealth(Clock clock, MetricRegistry metrics) {
		this.clock = clock;
		this.ejections = metrics.counter("routing.ejections");
		this.readmissions = metrics.counter("routing.readmissions");
	}

	/**
	 * Records an attempt that ended or returned its first token.
	 * @param endpoint the endpoint
	 * @param observation the measurements of the attempt
	 */
	public void observe(EndpointId endpoint, Observation observation) {
		HealthRecord record = record(endpoint);
		if (observation.failed()) {
			record.recordFailure();
		}
		else if (observation.firstToken() != null && observation.predictedFirstToken() != null) {
			record.recordFirstToken(seconds(observation.firstToken()), seconds(observation.predictedFirstToken()));
		}
	}

	/**
	 * Records that an attempt has returned no first token yet. Without this, a slow
	 * endpoint would be sent new requests until its first answer, which is as late as the
	 * endpoint is slow.
	 * @param endpoint the endpoint
	 * @param waited the time since the attempt was sent
	 * @param predicted the time to first token predicted when it was sent
	 */
	public void observeOverdue(EndpointId endpoint, Duration waited, Duration predicted) {
		record(endpoint).recordOverdue(seconds(waited), seconds(predicted));
	}

	/**
	 * Returns the smoothed delay of an endpoint's recent answers against the predictions.
	 * @param endpoint the endpoint
	 * @return the delay in seconds, 0 for an endpoint that answers as predicted
	 */
	public double penaltySeconds(EndpointId endpoint) {
		HealthRecord record = this.records.get(endpoint);
		return (record != null) ? record.penaltySeconds() : 0;
	}

	/**
	 * Returns whether an endpoint is being re-admitted and should get few requests.
	 * @param endpoint the endpoint
	 * @return true from the end of an ejection to the last required probe
	 */
	public boolean readmitting(EndpointId endpoint) {
		HealthRecord record = this.records.get(endpoint);
		return record != null && record.state() == HealthRecord.State.READMITTING;
	}

	/**
	 * Returns the endpoints of one service that may get new requests.
	 * @param endpoints all endpoints of the service
	 * @return the endpoints that aren't ejected, in the same order
	 */
	public List<EndpointId> usable(List<EndpointId> endpoints) {
		updateStates(endpoints);
		List<EndpointId> ejected = new ArrayList<>();
		for (EndpointId endpoint : endpoints) {
			HealthRecord record = this.records.get(endpoint);
			if (record != null && record.state() == HealthRecord.State.EJECTED) {
				ejected.add(endpoint);
			}
		}
		int maxEjected = (int) (endpoints.size() * MAX_EJECTED_SHARE);
		if (ejected.size() > maxEjected) {
			// If too many endpoints appear late, the cause lies elsewhere; the least late
			// stay
			// in use.
			ejected.sort(Comparator.comparingDouble((endpoint) -> -this.records.get(endpoint).lateness()));
			ejected = ejected.subList(0, maxEjected);
		}
		Set<EndpointId> excluded = new HashSet<>(ejected);
		return endpoints.stream().filter((endpoint) -> !excluded.contains(endpoint)).toList();
	}

	/**
	 * Removes the records of all other endpoints.
	 * @param endpoints the endpoints that still exist
	 */
	public void retain(Collection<EndpointId> endpoints) {
		this.records.keySet().retainAll(endpoints);
	}

	private void updateStates(List<EndpointId> endpoints) {
		double median = medianLateness(endpoints);
		long now = this.clock.nanos();
		for (EndpointId endpoint : endpoints) {
			HealthRecord record = this.records.get(endpoint);
			if (record == null) {
				continue;
			}
			HealthRecord.State before = record.state();
			record.update(now, median + Math.log(EJECTION_FACTOR));
			countTransition(before, record.state());
		}
	}

	private void countTransition(HealthRecord.State before, HealthRecord.State after) {
		if (before != after && after == HealthRecord.State.EJECTED) {
			this.ejections.inc();
		}
		if (before != after && after == HealthRecord.State.HEALTHY) {
			this.readmissions.inc();
		}
	}

	private double medianLateness(List<EndpointId> endpoints) {
		double[] values = new double[endpoints.size()];
		for (int i = 0; i < values.length; i++) {
			HealthRecord record = this.records.get(endpoints.get(i));
			values[i] = (record != null) ? record.lateness() : 0;
		}
		Arrays.sort(values);
		return (values.length > 0) ? Math.max(0, values[(values.length - 1) / 2]) : 0;
	}

	private HealthRecord record(EndpointId endpoint) {
		return this.records.computeIfAbsent(endpoint, (id) -> new HealthRecord());
	}

	private static double seconds(Duration duration) {
		return duration.toNanos() / 1e9;
	}

}
