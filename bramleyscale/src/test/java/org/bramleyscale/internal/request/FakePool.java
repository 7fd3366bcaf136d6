package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.endpoint.Observation;
import org.bramleyscale.internal.endpoint.Permit;
import org.bramleyscale.internal.routing.Candidate;

/**
 * A pool of endpoints that share a number of slots.
 */
final class FakePool implements EndpointPool {

	final List<Observation> observations = new ArrayList<>();

	final List<Long> capacityRequests = new ArrayList<>();

	final List<Duration> overdue = new ArrayList<>();

	final Set<EndpointId> unusable = new HashSet<>();

	int slots = 8;

	int used;

	private final Configuration configuration;

	private final List<Runnable> listeners = new ArrayList<>();

	FakePool(Configuration configuration) {
		this.configuration = configuration;
	}

	@Override
	public List<Candidate> candidates(ServiceName service, ModelName model) {
		return this.configuration.endpoints(service)
			.stream()
			.filter((endpoint) -> !this.unusable.contains(endpoint.name()))
			.map((endpoint) -> new Candidate(endpoint.name(), 0, 0, 0, 8, 0, 0, 100_000, 0, 0, 8, 100_000, 1000, 0.01,
					0, false))
			.toList();
	}

	@Override
	public Optional<Permit> acquire(EndpointId endpoint, long kvTokens, int promptTokens) {
		if (this.used >= this.slots) {
			return Optional.empty();
		}
		this.used++;
		return Optional.of(new FakePermit(this.configuration.endpoint(endpoint).orElseThrow()));
	}

	@Override
	public void requestCapacity(ServiceName service, ModelName model, long kvTokens) {
		this.capacityRequests.add(kvTokens);
	}

	@Override
	public void recordOverdue(EndpointId endpoint, Duration waited, Duration predicted) {
		this.overdue.add(waited);
	}

	@Override
	public void recordAttempt(EndpointId endpoint, Observation observation) {
		this.observations.add(observation);
	}

	@Override
	public void onCapacityAvailable(Runnable listener) {
		this.listeners.add(listener);
	}

	void slots(int number) {
		this.slots = number;
		this.listeners.forEach(Runnable::run);
	}

	/**
	 * A permit for one slot.
	 */
	private final class FakePermit implements Permit {

		private final EndpointEntry endpoint;

		private boolean closed;

		private FakePermit(EndpointEntry endpoint) {
			this.endpoint = endpoint;
		}

		@Override
		public EndpointEntry endpoint() {
			return this.endpoint;
		}

		@Override
		public void firstTokenReceived() {
		}

		@Override
		public void close() {
			if (!this.closed) {
				this.closed = true;
				FakePool.this.used--;
			}
		}

	}

}
