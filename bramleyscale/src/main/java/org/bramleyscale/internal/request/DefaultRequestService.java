package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.internal.admission.Admission;
import org.bramleyscale.internal.admission.TokenEstimator;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.Reservations;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.request.answer.AnswerReader;
import org.bramleyscale.internal.request.answer.PlainReader;
import org.bramleyscale.internal.request.forward.InboundForwards;
import org.bramleyscale.internal.request.forward.OutboundForwards;
import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Default {@link RequestService}, which runs a request on this daemon, or forwards it to
 * its home daemon if another incarnation issued its id.
 *
 * <p>
 * Invariant: a request whose id was issued by another incarnation is never started here
 * unless it is repeatable and its home daemon has failed. Confined to the scheduler's
 * thread.
 */
public final class DefaultRequestService implements RequestService {

	private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

	private final MembershipView membership;

	private final RecordStore records;

	private final LocalRequests local;

	private final OutboundForwards outbound;

	private final StateDump stateDump;

	private DefaultRequestService(Builder builder) {
		RequestPorts ports = builder.ports();
		RequestMetrics metrics = new RequestMetrics(builder.metrics);
		RequestSettings settings = builder.settings;
		this.membership = ports.membership();
		this.records = new RecordStore(ports.scheduler(), settings);
		UsedIds usedIds = new UsedIds(settings.maxUsedIds(), ports.random());
		RequestFlow flow = new RequestFlow(ports, settings, metrics, this.records, usedIds);
		RequestIds ids = new RequestIds(this.membership.self());
		this.local = new LocalRequests(ports, settings, metrics, new RequestParts(this.records, usedIds, ids, flow));
		this.outbound = new OutboundForwards(ports.scheduler(), ports.network(), this.membership, this.local, settings,
				metrics);
		InboundForwards inbound = new InboundForwards(ports.scheduler(), ports.network(), this.membership, this.local,
				settings);
		this.stateDump = new RequestDump(ports.scheduler(), this.records, usedIds, flow, this.outbound, inbound);
		ports.scheduler().repeat(SWEEP_INTERVAL, this.records::dropExpired);
	}

	public static Builder builder() {
		return new Builder();
	}

	@Override
	public Cancellable generate(GenerateRequest request, AnswerSink sink) {
		if (request.id().filter(this::isRemote).isEmpty()) {
			return this.local.generate(request, new AnswerReader(sink, 0, false));
		}
		return this.outbound.generate(request, sink);
	}

	@Override
	public Cancellable resume(RequestId id, ClientAccountId account, long offset, AnswerSink sink) {
		if (!isRemote(id)) {
			return this.local.attach(id, account, new AnswerReader(sink, offset, false));
		}
		return this.outbound.resume(id, account, offset, sink);
	}

	@Override
	public void cancel(RequestId id, ClientAccountId account) {
		if (isRemote(id)) {
			this.outbound.cancel(id, account);
		}
		else {
			this.local.cancel(id, account);
		}
	}

	@Override
	public Cancellable call(PlainRequest request, PlainSink sink) {
		if (request.id().filter(this::isRemote).isEmpty()) {
			return this.local.call(request, new PlainReader(sink, false));
		}
		return this.outbound.call(request, sink);
	}

	@Override
	public void leave() {
		this.local.leave();
	}

	@Override
	public int unfinished() {
		return this.records.unfinished() + this.outbound.size();
	}

	/**
	 * Returns the state dump for operators.
	 * @return counts by state and the first requests, without prompts
	 */
	public StateDump stateDump() {
		return this.stateDump;
	}

	private boolean isRemote(RequestId id) {
		return !id.issuer().equals(this.membership.self()) && !this.local.hasRecord(id);
	}

	/**
	 * Builder of the service; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private Scheduler scheduler;

		private RandomGenerator random;

		private ConfigurationSource configuration;

		private MembershipView membership;

		private PeerNetwork network;

		private Admission admission;

		private TokenEstimator estimator;

		private RoutingPolicy policy;

		private EndpointPool pool;

		private Reservations reservations;

		private EngineClient client;

		private MetricRegistry metrics = new MetricRegistry();

		private RequestSettings settings = RequestSettings.builder().build();

		private Builder() {
		}

		public Builder scheduler(Scheduler value) {
			this.scheduler = value;
			return this;
		}

		public Builder random(RandomGenerator value) {
			this.random = value;
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

		public Builder network(PeerNetwork value) {
			this.network = value;
			return this;
		}

		public Builder admission(Admission value) {
			this.admission = value;
			return this;
		}

		public Builder estimator(TokenEstimator value) {
			this.estimator = value;
			return this;
		}

		public Builder policy(RoutingPolicy value) {
			this.policy = value;
			return this;
		}

		public Builder pool(EndpointPool value) {
			this.pool = value;
			return this;
		}

		public Builder reservations(Reservations value) {
			this.reservations = value;
			return this;
		}

		public Builder client(EngineClient value) {
			this.client = value;
			return this;
		}

		public Builder metrics(MetricRegistry value) {
			this.metrics = value;
			return this;
		}

		public Builder settings(RequestSettings value) {
			this.settings = value;
			return this;
		}

		/**
		 * Builds the service, registers its listeners and schedules its periodic tasks.
		 * @return the service
		 */
		public DefaultRequestService build() {
			return new DefaultRequestService(this);
		}

		private RequestPorts ports() {
			return new RequestPorts(this.scheduler, this.random, this.configuration, this.membership, this.network,
					this.admission, this.estimator, this.policy, this.pool, this.reservations, this.client);
		}

	}

}
