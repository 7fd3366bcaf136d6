package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.endpoint.EndpointSettings;
import org.bramleyscale.internal.endpoint.KnownEndpoints;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.endpoint.Observation;
import org.bramleyscale.internal.endpoint.Permit;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * An endpoint pool that issues permits within the grants of the endpoints' owners.
 *
 * <p>
 * Invariants: permits never exceed the share that is current when they are issued; a
 * grant's lifetime is counted from when the demand that it answers was sent, so it
 * expires here before it expires in the owner's account; grants of an older epoch are
 * ignored. Confined to the scheduler's thread.
 */
public final class GrantedEndpointPool implements EndpointPool, KnownEndpoints, StateDump {

	private final Scheduler scheduler;

	private final ConfigurationSource configuration;

	private final MembershipView membership;

	private final PeerNetwork peers;

	private final EndpointDirectory directory;

	private final DemandSender demands;

	private final GrantReceiver grants;

	private final DemandCycle cycle;

	private final WaitingRequests waiting;

	private final FirstAnswerTimer firstAnswerTimer;

	private final Counter refusedPermits;

	private final List<Runnable> capacityListeners = new ArrayList<>();

	private Cancellable demandTask;

	private boolean stopped;

	private GrantedEndpointPool(Builder builder) {
		this.scheduler = builder.scheduler;
		this.configuration = builder.configuration;
		this.membership = builder.membership;
		this.peers = builder.peers;
		MetricRegistry metrics = builder.metrics;
		this.directory = new EndpointDirectory(this.scheduler, this.configuration, this.membership, builder.settings,
				builder.learners, this::endpointAdded);
		this.demands = new DemandSender(this.scheduler, this.peers, builder.settings, this.directory::ownerOf,
				metrics.counter("endpoint.pool.demands"));
		this.grants = new GrantReceiver(this.scheduler, this.directory, this.demands, this::notifyCapacityListeners,
				metrics.counter("endpoint.pool.grants.ignored"));
		this.cycle = new DemandCycle(this.scheduler, this.directory, this.demands, this.membership, builder.settings);
		this.waiting = new WaitingRequests(this.scheduler, this.directory, this.demands);
		this.firstAnswerTimer = new FirstAnswerTimer(this.scheduler, this::notifyCapacityListeners);
		this.refusedPermits = metrics.counter("endpoint.pool.permits.refused");
		metrics.gauge("endpoint.pool.endpoints", () -> () -> this.directory.all().size());
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Starts following the configuration and sending demands.
	 */
	public void start() {
		this.grants.listen(this.peers);
		this.configuration.onChange((version) -> refresh());
		this.membership.onChange(this.directory::remap);
		this.demandTask = this.scheduler.repeat(DemandCycle.TICK, this.cycle::run);
		refresh();
	}

	public void stop() {
		this.stopped = true;
		this.demandTask.cancel();
	}

	@Override
	public List<Candidate> candidates(ServiceName service, ModelName model) {
		long now = this.scheduler.nanos();
		int sharing = this.directory.sharing();
		List<Candidate> healthy = new ArrayList<>();
		List<Candidate> ejected = new ArrayList<>();
		for (EndpointState state : this.directory.use(service)) {
			markUsed(state, now);
			if (state.leaving() || !state.offers(model)) {
				continue;
			}
			List<Candidate> list = state.learner().ejected(now) ? ejected : healthy;
			list.add(state.candidate(now, sharing));
		}
		// If every endpoint is ejected, a late answer is still better than none.
		return healthy.isEmpty() ? ejected : healthy;
	}

	@Override
	public Optional<Permit> acquire(EndpointId endpoint, long kvTokens, int promptTokens) {
		if (kvTokens < 0) {
			throw new IllegalArgumentException("KV tokens must not be negative, were " + kvTokens);
		}
		EndpointState state = this.directory.find(endpoint).orElse(null);
		if (state == null || state.leaving()) {
			return Optional.empty();
		}
		long now = this.scheduler.nanos();
		markUsed(state, now);
		Amount amount = new Amount(1, kvTokens);
		if (!amount.within(state.remaining(now, this.directory.sharing()))) {
			this.refusedPermits.inc();
			state.unmet().add(kvTokens, now);
			this.demands.sendSoon(state);
			return Optional.empty();
		}
		state.unmet().clear();
		return Optional.of(new EndpointPermit(state, amount, promptTokens, now, this::notifyCapacityListeners));
	}

	@Override
	public void requestCapacity(ServiceName service, ModelName model, long kvTokens) {
		this.waiting.requestCapacity(service, model, kvTokens);
	}

	@Override
	public void recordAttempt(EndpointId endpoint, Observation observation) {
		EndpointState state = this.directory.find(endpoint).orElse(null);
		if (state != null) {
			state.learner().observed(observation, this.scheduler.nanos());
		}
	}

	@Override
	public void recordOverdue(EndpointId endpoint, Duration waited, Duration predicted) {
		this.directory.find(endpoint).ifPresent((state) -> state.learner().overdue(waited, predicted));
	}

	@Override
	public void onCapacityAvailable(Runnable listener) {
		this.capacityListeners.add(listener);
	}

	@Override
	public Optional<LoadReport> report(EndpointId endpoint) {
		return this.directory.find(endpoint).map(EndpointState::report);
	}

	@Override
	public List<EndpointEntry> usable(ServiceName service, ModelName model) {
		long now = this.scheduler.nanos();
		List<EndpointEntry> result = new ArrayList<>();
		for (EndpointState state : this.directory.use(service)) {
			if (state.usable(model, now)) {
				result.add(state.entry());
			}
		}
		return result;
	}

	@Override
	public Optional<VmId> owner(EndpointId endpoint) {
		return this.directory.find(endpoint).flatMap(this.directory::ownerOf);
	}

	@Override
	public String name() {
		return "endpoint-pool";
	}

	@Override
	public Object dump() {
		return PoolDump.of(this.directory.all(), this.demands.periodMillis(), this.scheduler.nanos(),
				this.directory.sharing());
	}

	private void refresh() {
		if (this.stopped) {
			return;
		}
		List<EndpointState> leaving = this.directory.refresh();
		// The owner's configuration may be older. The demand informs the owner, which
		// then notifies the other entries.
		this.demands.send(leaving);
		notifyCapacityListeners();
	}

	private void endpointAdded(EndpointState state) {
		this.demands.sendSoon(state);
	}

	private void markUsed(EndpointState state, long now) {
		boolean wasActive = state.active(now);
		state.markUsed(now);
		if (!wasActive) {
			this.demands.sendSoon(state);
			this.firstAnswerTimer.await();
		}
	}

	private void notifyCapacityListeners() {
		this.capacityListeners.forEach(Runnable::run);
	}

	/**
	 * Builds a {@link GrantedEndpointPool}. Not safe for use by multiple threads.
	 */
	public static final class Builder {

		private Scheduler scheduler;

		private ConfigurationSource configuration;

		private MembershipView membership;

		private PeerNetwork peers;

		private MetricRegistry metrics = new MetricRegistry();

		private EndpointSettings settings = EndpointSettings.defaults();

		private Function<EndpointId, EndpointLearner> learners = (endpoint) -> new MovingAverageLearner();

		private Builder() {
		}

		public Builder scheduler(Scheduler value) {
			this.scheduler = value;
			return this;
		}

		public Builder configuration(ConfigurationSource value) {
			this.configuration = value;
			return this;
		}

		public Builder membership(MembershipView value) {
			this.membership = value;
			return this;
		}

		/**
		 * Sets the peers; the network must also deliver to this daemon itself.
		 * @param value the network
		 * @return this builder
		 */
		public Builder peers(PeerNetwork value) {
			this.peers = value;
			return this;
		}

		public Builder metrics(MetricRegistry value) {
			this.metrics = value;
			return this;
		}

		public Builder settings(EndpointSettings value) {
			this.settings = value;
			return this;
		}

		/**
		 * Sets the factory of the learners of each endpoint's speed and health.
		 * @param value creates the learner of an endpoint
		 * @return this builder
		 */
		public Builder learners(Function<EndpointId, EndpointLearner> value) {
			this.learners = value;
			return this;
		}

		public GrantedEndpointPool build() {
			return new GrantedEndpointPool(this);
		}

	}

}
