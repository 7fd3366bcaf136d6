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
 * Ejects endpoints that answer late or badly although they report that they are well, and
 * re-admits them slowly.
 *
 * <p>
 * Lateness is measured against the prediction and against the other endpoints of the same
 * service, so that general overload ejects nobody. Invariant: of the endpoints of one
 * service at most {@link #LARGEST_EJECTED_SHARE} are kept from new work at a time.
 * Confined to the scheduler's thread.
 */
public final class EndpointHealth {

	/** The largest share of a service's endpoints that may be ejected at a time. */
	public static final double LARGEST_EJECTED_SHARE = 0.34;

	/** Lateness relative to the others, as a factor, that ejects. */
	private static final double EJECTING_FACTOR = 3;

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
	 * Learns from one attempt that ended or brought its first token.
	 * @param endpoint the endpoint
	 * @param observation what was seen
	 */
	public void observe(EndpointId endpoint, Observation observation) {
		HealthRecord record = record(endpoint);
		if (observation.failed()) {
			record.failed();
		}
		else if (observation.firstToken() != null && observation.predictedFirstToken() != null) {
			record.answered(seconds(observation.firstToken()), seconds(observation.predictedFirstToken()));
		}
	}

	/**
	 * Learns that an attempt has brought no first token yet. A slow endpoint would
	 * otherwise go on getting work until its first answer, which is as late as it is
	 * slow.
	 * @param endpoint the endpoint
	 * @param waited how long the attempt has been there
	 * @param predicted the time to first token predicted at sending
	 */
	public void overdue(EndpointId endpoint, Duration waited, Duration predicted) {
		record(endpoint).overdue(seconds(waited), seconds(predicted));
	}

	/**
	 * The seconds by which an endpoint lately answered later than predicted.
	 * @param endpoint the endpoint
	 * @return seconds, 0 for an endpoint that keeps its times
	 */
	public double penaltySeconds(EndpointId endpoint) {
		HealthRecord record = this.records.get(endpoint);
		return (record != null) ? record.penaltySeconds() : 0;
	}

	/**
	 * Whether an endpoint is being re-admitted and should get little.
	 * @param endpoint the endpoint
	 * @return true from the end of an ejection to the last good probe
	 */
	public boolean readmitting(EndpointId endpoint) {
		HealthRecord record = this.records.get(endpoint);
		return record != null && record.state() == HealthRecord.State.READMITTING;
	}

	/**
	 * The endpoints of one service that may get new work.
	 * @param endpoints all its endpoints
	 * @return those not ejected, in the same order
	 */
	public List<EndpointId> usable(List<EndpointId> endpoints) {
		update(endpoints);
		List<EndpointId> ejected = new ArrayList<>();
		for (EndpointId endpoint : endpoints) {
			HealthRecord record = this.records.get(endpoint);
			if (record != null && record.state() == HealthRecord.State.EJECTED) {
				ejected.add(endpoint);
			}
		}
		int most = (int) (endpoints.size() * LARGEST_EJECTED_SHARE);
		if (ejected.size() > most) {
			// Too many look bad: the fault lies elsewhere, so the least bad stay in use.
			ejected.sort(Comparator.comparingDouble((endpoint) -> -this.records.get(endpoint).lateness()));
			ejected = ejected.subList(0, most);
		}
		Set<EndpointId> left = new HashSet<>(ejected);
		return endpoints.stream().filter((endpoint) -> !left.contains(endpoint)).toList();
	}

	/**
	 * Forgets all other endpoints.
	 * @param endpoints the endpoints that still exist
	 */
	public void retain(Collection<EndpointId> endpoints) {
		this.records.keySet().retainAll(endpoints);
	}

	private void update(List<EndpointId> endpoints) {
		double usual = usualLateness(endpoints);
		long now = this.clock.nanos();
		for (EndpointId endpoint : endpoints) {
			HealthRecord record = this.records.get(endpoint);
			if (record == null) {
				continue;
			}
			HealthRecord.State before = record.state();
			record.update(now, usual + Math.log(EJECTING_FACTOR));
			count(before, record.state());
		}
	}

	private void count(HealthRecord.State before, HealthRecord.State after) {
		if (before != after && after == HealthRecord.State.EJECTED) {
			this.ejections.inc();
		}
		if (before != after && after == HealthRecord.State.HEALTHY) {
			this.readmissions.inc();
		}
	}

	private double usualLateness(List<EndpointId> endpoints) {
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
