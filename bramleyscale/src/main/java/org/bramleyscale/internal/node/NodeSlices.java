package org.bramleyscale.internal.node;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.Incarnation;
import org.bramleyscale.SettingKey;
import org.bramleyscale.Settings;
import org.bramleyscale.internal.address.AddressResolver;
import org.bramleyscale.internal.address.LeaveActions;
import org.bramleyscale.internal.address.LeavePlan;
import org.bramleyscale.internal.address.LeaveTimes;
import org.bramleyscale.internal.address.RendezvousAddressResolver;
import org.bramleyscale.internal.admission.FairAdmission;
import org.bramleyscale.internal.admission.LimitShareExchange;
import org.bramleyscale.internal.admission.RatioTokenEstimator;
import org.bramleyscale.internal.configuration.ConfigurationService;
import org.bramleyscale.internal.endpoint.LoopbackPeerNetwork;
import org.bramleyscale.internal.endpoint.owner.EndpointOwner;
import org.bramleyscale.internal.endpoint.pool.GrantedEndpointPool;
import org.bramleyscale.internal.endpoint.reservation.GroupReservations;
import org.bramleyscale.internal.lease.LeaseManager;
import org.bramleyscale.internal.lease.LeaseSettings;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipService;
import org.bramleyscale.internal.membership.MembershipSettings;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.request.DefaultRequestService;
import org.bramleyscale.internal.request.RequestService;
import org.bramleyscale.internal.request.RequestSettings;
import org.bramleyscale.internal.routing.PredictivePolicy;
import org.bramleyscale.internal.routing.SpeedEstimator;
import org.bramleyscale.internal.routing.SpeedExchange;
import org.bramleyscale.internal.status.FailureLog;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.steward.Steward;
import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;

/**
 * All slices of one daemon, made and joined over their ports.
 *
 * <p>
 * Neither sockets nor threads are made here, so the same slices run in a daemon and,
 * under a manual scheduler, in focused tests. Confined to the scheduler's thread, where
 * it must also be made: slices schedule work while they are made.
 */
public final class NodeSlices {

	private static final Logger logger = Logger.getLogger(NodeSlices.class);

	private final NodePorts ports;

	private final Settings settings;

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final WatchedObjectStore store;

	private final MembershipService membership;

	private final ConfigurationService configuration;

	private final LeaseManager leases;

	private final GrantedEndpointPool pool;

	private final EndpointOwner owner;

	private final GroupReservations reservations;

	private final Steward steward;

	private final AddressResolver addresses;

	private final FairAdmission admission;

	private final DefaultRequestService requests;

	private final RequestService loggedRequests;

	private final LeavePlan leavePlan;

	private final FailureLog failures;

	private final SpeedEstimator speeds = new SpeedEstimator();

	private int position;

	public NodeSlices(NodePorts ports, Settings settings) {
		this.ports = ports;
		this.settings = settings;
		this.scheduler = ports.scheduler();
		this.network = new LoopbackPeerNetwork(ports.network(), this.scheduler, ports.identity().incarnation());
		this.store = new WatchedObjectStore(this.scheduler, ports.store());
		this.failures = new FailureLog(this.scheduler);
		this.membership = newMembership();
		this.configuration = newConfiguration();
		this.leases = new LeaseManager(this.scheduler, this.store, self(), LeaseSettings.of(settings.leaseDuration()),
				ports.random(), ports.metrics());
		this.pool = newPool();
		this.owner = newOwner();
		this.reservations = new GroupReservations(this.scheduler, this.pool, this.network, ports.engines(), self(),
				ports.metrics());
		this.steward = newSteward();
		this.addresses = new RendezvousAddressResolver(this.membership, this.configuration, settings.addressKeepFor());
		this.admission = FairAdmission.builder(this.scheduler, this.configuration, ports.metrics())
			.maxWaiting(settings.value(SettingKey.MAX_REQUESTS))
			.build();
		new LimitShareExchange(this.scheduler, this.membership, this.addresses, this.configuration, this.network,
				this.admission);
		new SpeedExchange(this.scheduler, this.membership, this.network, this.speeds);
		this.requests = newRequests();
		this.loggedRequests = new LoggedRequests(this.requests, this.failures);
		this.leavePlan = new LeavePlan(this.scheduler, new Leaving(), this.addresses, leaveTimes());
		this.membership.onChange(this::findPosition);
		this.membership.onLeave(() -> beginLeave("membership"));
		this.network.listen(Drain.class, (from, drain) -> beginLeave(drain.askedBy()));
	}

	/**
	 * Starts to take part in the fleet.
	 */
	public void start() {
		this.membership.start();
		this.configuration.start();
		this.pool.start();
		this.owner.start();
		this.reservations.start();
		this.steward.start();
	}

	/**
	 * Begins the planned stop; calling again has no effect.
	 * @param askedBy who asked for it, for the log
	 */
	public void beginLeave(String askedBy) {
		logger.infof("Planned stop asked for by %s", askedBy);
		this.leavePlan.begin();
	}

	public MembershipService membership() {
		return this.membership;
	}

	public ConfigurationService configuration() {
		return this.configuration;
	}

	public GrantedEndpointPool pool() {
		return this.pool;
	}

	public AddressResolver addresses() {
		return this.addresses;
	}

	public RequestService requests() {
		return this.loggedRequests;
	}

	public LeavePlan leavePlan() {
		return this.leavePlan;
	}

	Scheduler scheduler() {
		return this.scheduler;
	}

	PeerNetwork network() {
		return this.network;
	}

	FairAdmission admission() {
		return this.admission;
	}

	FailureLog failures() {
		return this.failures;
	}

	Duration platformSilence() {
		return this.store.silence();
	}

	/**
	 * The state of each slice.
	 * @return the states by slice name
	 */
	public Map<String, Object> dump() {
		Map<String, Object> states = new LinkedHashMap<>();
		states.put("daemon", self().toString());
		List<StateDump> slices = List.of(this.membership, this.configuration, this.leases, this.pool, this.owner,
				this.reservations, this.steward, this.admission, this.requests.stateDump(), this.leavePlan);
		this.ports.dumps().forEach((adapter) -> states.put(adapter.name(), adapter.dump()));
		slices.forEach((slice) -> states.put(slice.name(), slice.dump()));
		return states;
	}

	private MembershipService newMembership() {
		return MembershipService.builder()
			.settings(MembershipSettings.of(this.ports.identity(), seeds()))
			.scheduler(this.scheduler)
			.network(this.ports.network())
			.store(this.store)
			.random(this.ports.random())
			.metrics(this.ports.metrics())
			.build();
	}

	private ConfigurationService newConfiguration() {
		return ConfigurationService.builder()
			.self(this.settings.vm())
			.scheduler(this.scheduler)
			.random(this.ports.random())
			.objects(this.store)
			.network(this.ports.network())
			.relays(new NodeRelays(this.membership))
			.metrics(this.ports.metrics())
			.staleAfter(this.settings.configurationStaleAfter())
			.watchWait(this.settings.value(SettingKey.PLATFORM_WATCH_WAIT))
			.build();
	}

	private GrantedEndpointPool newPool() {
		return GrantedEndpointPool.builder()
			.scheduler(this.scheduler)
			.configuration(this.configuration)
			.membership(this.membership)
			.peers(this.network)
			.metrics(this.ports.metrics())
			.learners(new SharedLearners(this.scheduler, this.configuration, this.speeds, this.ports.metrics()))
			.build();
	}

	private EndpointOwner newOwner() {
		return EndpointOwner.builder()
			.scheduler(this.scheduler)
			.configuration(this.configuration)
			.membership(this.membership)
			.leases(this.leases)
			.peers(this.network)
			.engines(this.ports.engines())
			.metrics(this.ports.metrics())
			.build();
	}

	private Steward newSteward() {
		return Steward.builder()
			.scheduler(this.scheduler)
			.leases(this.leases)
			.engines(this.ports.engines())
			.configuration(this.configuration)
			.dataCentre(this.settings.dataCentre())
			.reports(this.pool::report)
			.metrics(this.ports.metrics())
			.build();
	}

	private DefaultRequestService newRequests() {
		return DefaultRequestService.builder()
			.scheduler(this.scheduler)
			.random(this.ports.random())
			.configuration(this.configuration)
			.membership(this.membership)
			.network(this.network)
			.admission(this.admission)
			.estimator(new RatioTokenEstimator())
			.policy(PredictivePolicy.builder(this.scheduler).position(() -> this.position).speeds(this.speeds).build())
			.pool(this.pool)
			.reservations(this.reservations)
			.client(this.ports.engines())
			.metrics(this.ports.metrics())
			.settings(requestSettings())
			.build();
	}

	private Incarnation self() {
		return this.ports.identity().incarnation();
	}

	private List<VmRecord> seeds() {
		return this.settings.seedPeers()
			.stream()
			.map((seed) -> new VmRecord(seed.vm(), seed.dataCentre(), seed.address().toString(), "", false))
			.toList();
	}

	// Routing asks for the position with every candidate; walking 1,700 members each time
	// took a hundred times as long as the decision, so it is found once per change.
	private void findPosition() {
		int found = 0;
		for (Member member : this.membership.eligible()) {
			if (member.vm().equals(self().vm())) {
				this.position = found;
				return;
			}
			found++;
		}
		this.position = 0;
	}

	private RequestSettings requestSettings() {
		return RequestSettings.builder()
			.streamSilence(this.settings.value(SettingKey.STREAM_SILENCE))
			.maxBodyBytes(this.settings.value(SettingKey.MAX_BODY_BYTES))
			.retryRatio(this.settings.value(SettingKey.RETRY_BUDGET))
			.build();
	}

	private LeaveTimes leaveTimes() {
		LeaveTimes usual = LeaveTimes.forCacheTime(this.settings.addressKeepFor());
		return new LeaveTimes(usual.keepFor(), usual.propagation(), usual.linger(),
				this.settings.value(SettingKey.DRAIN_LIMIT));
	}

	/**
	 * What the planned stop does to this daemon.
	 */
	private final class Leaving implements LeaveActions {

		@Override
		public void announce() {
			NodeSlices.this.membership.leave();
		}

		@Override
		public void refuseNew() {
			NodeSlices.this.requests.leave();
		}

		@Override
		public int unfinished() {
			return NodeSlices.this.requests.unfinished();
		}

		@Override
		public void end(boolean complete) {
			NodeSlices.this.owner.stop();
			NodeSlices.this.steward.stop();
			NodeSlices.this.pool.stop();
			NodeSlices.this.ports.ended().accept(complete);
		}

	}

}
