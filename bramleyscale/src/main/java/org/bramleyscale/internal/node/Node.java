package org.bramleyscale.internal.node;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import org.bramleyscale.Incarnation;
import org.bramleyscale.SettingKey;
import org.bramleyscale.Settings;
import org.bramleyscale.internal.address.AddressBook;
import org.bramleyscale.internal.address.LeaveActions;
import org.bramleyscale.internal.address.LeavePlan;
import org.bramleyscale.internal.address.LeaveTimes;
import org.bramleyscale.internal.address.RendezvousAddressBook;
import org.bramleyscale.internal.admission.FairAdmission;
import org.bramleyscale.internal.admission.LimitShares;
import org.bramleyscale.internal.admission.RatioTokenEstimator;
import org.bramleyscale.internal.configuration.ConfigurationService;
import org.bramleyscale.internal.endpoint.LoopbackPeerNetwork;
import org.bramleyscale.internal.endpoint.owner.EndpointOwner;
import org.bramleyscale.internal.endpoint.pool.GrantedEndpointPool;
import org.bramleyscale.internal.endpoint.reservation.GroupReservations;
import org.bramleyscale.internal.http.EntryServer;
import org.bramleyscale.internal.http.EntrySettings;
import org.bramleyscale.internal.http.HttpEngineClient;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.lease.LeaseManager;
import org.bramleyscale.internal.lease.LeaseSettings;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipService;
import org.bramleyscale.internal.membership.MembershipSettings;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.peer.TcpPeerNetwork;
import org.bramleyscale.internal.peer.TcpPeerSettings;
import org.bramleyscale.internal.platform.HttpObjectStore;
import org.bramleyscale.internal.request.DefaultRequestService;
import org.bramleyscale.internal.request.RequestSettings;
import org.bramleyscale.internal.routing.PredictivePolicy;
import org.bramleyscale.internal.status.FailureLog;
import org.bramleyscale.internal.status.OperatorAccess;
import org.bramleyscale.internal.status.OperatorHandlers;
import org.bramleyscale.internal.status.ProblemThresholds;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.steward.Steward;
import org.bramleyscale.internal.time.EventLoop;
import org.jboss.logging.Logger;

/**
 * One daemon: all slices, made and joined.
 *
 * <p>
 * Invariant: after the constructor, slices are called on the event loop only. The public
 * methods may be called from any thread.
 */
public final class Node implements AutoCloseable {

	private static final Logger logger = Logger.getLogger(Node.class);

	private static final Duration LAST_WRITES = Duration.ofMillis(200);

	private final Settings settings;

	private final Incarnation self;

	private final MetricRegistry metrics = new MetricRegistry();

	private final EventLoop loop;

	private final HttpExecution http;

	private final TcpPeerNetwork tcp;

	private final MembershipService membership;

	private final ConfigurationService configuration;

	private final LeaseManager leases;

	private final HttpEngineClient engines;

	private final GrantedEndpointPool pool;

	private final EndpointOwner owner;

	private final GroupReservations reservations;

	private final Steward steward;

	private final LeavePlan leavePlan;

	private final EntryServer entry;

	private final List<StateDump> dumps;

	private final CompletableFuture<Boolean> ended = new CompletableFuture<>();

	/**
	 * Makes a daemon that doesn't listen yet.
	 * <p>
	 * Slices schedule work while they are made. They are therefore made on the event
	 * loop, so that no such work meets a daemon that is half made.
	 * @param settings the daemon's settings
	 * @return the daemon
	 */
	public static Node create(Settings settings) {
		EventLoop loop = new EventLoop("bramleyscale-" + settings.vm());
		return CompletableFuture.supplyAsync(() -> new Node(settings, loop), loop::execute).join();
	}

	private Node(Settings settings, EventLoop loop) {
		this.settings = settings;
		this.loop = loop;
		this.self = new Incarnation(settings.vm(), this.loop.wallTime().toEpochMilli());
		this.http = new HttpExecution(this.loop);
		SplittableRandom random = new SplittableRandom();
		WatchedObjectStore store = new WatchedObjectStore(this.loop, objectStore());
		PeerIdentity identity = identity();
		this.tcp = new TcpPeerNetwork(peerSettings(identity), this.loop, new MessageCodec(NodeMessages.catalog()),
				random.split(), this.metrics);
		PeerNetwork network = new LoopbackPeerNetwork(this.tcp, this.loop, this.self);
		this.membership = MembershipService.builder()
			.settings(MembershipSettings.of(identity, List.of()))
			.scheduler(this.loop)
			.network(this.tcp)
			.store(store)
			.random(random.split())
			.metrics(this.metrics)
			.build();
		this.configuration = ConfigurationService.builder()
			.self(settings.vm())
			.scheduler(this.loop)
			.random(random.split())
			.objects(store)
			.network(this.tcp)
			.relays(new NodeRelays(this.membership))
			.metrics(this.metrics)
			.staleAfter(settings.configurationStaleAfter())
			.build();
		this.leases = new LeaseManager(this.loop, store, this.self, LeaseSettings.of(settings.leaseDuration()),
				random.split(), this.metrics);
		this.engines = new HttpEngineClient(this.loop, this.http);
		this.pool = GrantedEndpointPool.builder()
			.scheduler(this.loop)
			.configuration(this.configuration)
			.membership(this.membership)
			.peers(network)
			.metrics(this.metrics)
			.learners(new SharedLearners(this.loop, this.configuration, this.metrics))
			.build();
		this.owner = EndpointOwner.builder()
			.scheduler(this.loop)
			.configuration(this.configuration)
			.membership(this.membership)
			.leases(this.leases)
			.peers(network)
			.engines(this.engines)
			.metrics(this.metrics)
			.build();
		this.reservations = new GroupReservations(this.loop, this.pool, network, this.engines, this.self, this.metrics);
		this.steward = Steward.builder()
			.scheduler(this.loop)
			.leases(this.leases)
			.engines(this.engines)
			.configuration(this.configuration)
			.dataCentre(settings.dataCentre())
			.reports(this.pool::report)
			.metrics(this.metrics)
			.build();
		AddressBook addresses = new RendezvousAddressBook(this.membership, this.configuration,
				settings.addressKeepFor());
		FairAdmission admission = FairAdmission.builder(this.loop, this.configuration, this.metrics).build();
		new LimitShares(this.loop, this.membership, addresses, this.configuration, network, admission);
		DefaultRequestService requests = DefaultRequestService.builder()
			.scheduler(this.loop)
			.random(random.split())
			.configuration(this.configuration)
			.membership(this.membership)
			.network(network)
			.admission(admission)
			.estimator(new RatioTokenEstimator())
			.policy(PredictivePolicy.builder(this.loop).position(this::position).build())
			.pool(this.pool)
			.reservations(this.reservations)
			.client(this.engines)
			.metrics(this.metrics)
			.settings(requestSettings())
			.build();
		this.membership.onLeave(() -> beginLeave("membership"));
		this.leavePlan = new LeavePlan(this.loop, new Leaving(requests), addresses, leaveTimes());
		network.listen(Drain.class, (from, drain) -> beginLeave(drain.askedBy()));
		FailureLog failures = new FailureLog(this.loop);
		this.dumps = List.of(this.tcp, this.membership, this.configuration, this.leases, this.pool, this.owner,
				this.reservations, this.steward, admission, requests.stateDump(), this.leavePlan);
		NodeOperatorBackend backend = new NodeOperatorBackend(this, new NodeStatus(this, store, failures), network);
		this.entry = EntryServer.builder()
			.address(socketAddress(settings.httpAddress()))
			.scheduler(this.loop)
			.configuration(this.configuration)
			.addresses(addresses)
			.requests(requests)
			.settings(entrySettings())
			.metrics(this.metrics)
			.handlers(new OperatorHandlers(backend, operatorAccess(), this.metrics, ProblemThresholds.DEFAULT))
			.build();
	}

	/**
	 * Starts to listen and to take part.
	 * @throws Exception if an address can't be used
	 */
	public void start() throws Exception {
		onLoop(() -> this.tcp.start(this.membership.directory()));
		this.loop.execute(this::startSlices);
		this.entry.start();
		logger.infof("Daemon %s listens for callers on %s and for peers on %s", this.self, this.settings.httpAddress(),
				this.settings.peerAddress());
	}

	private <T> T onLoop(Callable<T> task) throws Exception {
		CompletableFuture<T> result = new CompletableFuture<>();
		this.loop.execute(() -> {
			try {
				result.complete(task.call());
			}
			catch (Exception ex) {
				result.completeExceptionally(ex);
			}
		});
		try {
			return result.get();
		}
		catch (ExecutionException ex) {
			throw (ex.getCause() instanceof Exception cause) ? cause : ex;
		}
	}

	private void startSlices() {
		this.membership.start();
		this.configuration.start();
		this.pool.start();
		this.owner.start();
		this.reservations.start();
		this.steward.start();
	}

	/**
	 * Begins the planned stop.
	 * @return completes when the daemon has ended, with true if every request had ended
	 */
	public CompletableFuture<Boolean> leave() {
		this.loop.execute(() -> beginLeave("its own process"));
		return this.ended;
	}

	/**
	 * Completes when the daemon has ended.
	 * @return as {@link #leave()} says
	 */
	public CompletableFuture<Boolean> ended() {
		return this.ended.copy();
	}

	/**
	 * Ends at once, as a dying process would.
	 */
	@Override
	public void close() {
		try {
			this.entry.stop();
		}
		catch (Exception ex) {
			logger.warn("The HTTP server did not stop cleanly", ex);
		}
		this.tcp.close();
		this.loop.close();
		this.engines.close();
		this.http.close();
		this.ended.complete(false);
	}

	EventLoop loop() {
		return this.loop;
	}

	MembershipService membership() {
		return this.membership;
	}

	ConfigurationService configuration() {
		return this.configuration;
	}

	GrantedEndpointPool pool() {
		return this.pool;
	}

	LeavePlan leavePlan() {
		return this.leavePlan;
	}

	Map<String, Object> dump() {
		Map<String, Object> states = new LinkedHashMap<>();
		states.put("daemon", this.self.toString());
		this.dumps.forEach((slice) -> states.put(slice.name(), slice.dump()));
		return states;
	}

	void beginLeave(String askedBy) {
		logger.infof("Planned stop asked for by %s", askedBy);
		this.leavePlan.begin();
	}

	private void end(boolean complete) {
		this.owner.stop();
		this.steward.stop();
		this.pool.stop();
		// The last answers are written by other threads; closing in the same turn of the
		// loop would cut them, and a caller would see its stream end without its last
		// piece.
		this.loop.schedule(LAST_WRITES, () -> CompletableFuture.runAsync(() -> {
			this.ended.complete(complete);
			close();
		}));
	}

	private int position() {
		int position = 0;
		for (Member member : this.membership.eligible()) {
			if (member.vm().equals(this.self.vm())) {
				return position;
			}
			position++;
		}
		return 0;
	}

	private HttpObjectStore objectStore() {
		return new HttpObjectStore(this.loop, this.http, this.settings.platformUrl().getAuthority(),
				this.settings.value(SettingKey.PLATFORM_CALL_TIMEOUT), this.metrics);
	}

	private PeerIdentity identity() {
		return new PeerIdentity(this.self, this.settings.dataCentre(), this.settings.peerAddress().toString(),
				this.settings.httpAddress().toString());
	}

	private TcpPeerSettings peerSettings(PeerIdentity identity) {
		return TcpPeerSettings.builder()
			.identity(identity)
			.listen(socketAddress(this.settings.peerAddress()))
			.key(this.settings.peerKey().getBytes(StandardCharsets.UTF_8))
			.largestFrame(this.settings.value(SettingKey.MAX_FRAME_BYTES))
			.mostQueuedBytes(this.settings.value(SettingKey.MAX_QUEUED_BYTES))
			.build();
	}

	private RequestSettings requestSettings() {
		return RequestSettings.builder()
			.streamSilence(this.settings.value(SettingKey.STREAM_SILENCE))
			.maxBodyBytes(this.settings.value(SettingKey.MAX_BODY_BYTES))
			.retryShare(this.settings.value(SettingKey.RETRY_BUDGET))
			.build();
	}

	private EntrySettings entrySettings() {
		EntrySettings defaults = EntrySettings.DEFAULT;
		return new EntrySettings(defaults.threads(), this.settings.value(SettingKey.MAX_BODY_BYTES),
				defaults.streamBufferBytes(), defaults.keepAlive(), defaults.idle());
	}

	private LeaveTimes leaveTimes() {
		LeaveTimes usual = LeaveTimes.forKeptAddresses(this.settings.addressKeepFor());
		return new LeaveTimes(usual.keepFor(), usual.spread(), usual.linger(),
				this.settings.value(SettingKey.DRAIN_LIMIT));
	}

	private OperatorAccess operatorAccess() {
		return OperatorAccess.builder().keyHash(this.settings.operatorKeyHash()).build();
	}

	private static InetSocketAddress socketAddress(HostAndPort address) {
		return new InetSocketAddress(address.getHost(), address.getPort());
	}

	/**
	 * What the planned stop does to this daemon.
	 */
	private final class Leaving implements LeaveActions {

		private final DefaultRequestService requests;

		private Leaving(DefaultRequestService requests) {
			this.requests = requests;
		}

		@Override
		public void announce() {
			Node.this.membership.leave();
		}

		@Override
		public void refuseNew() {
			this.requests.leave();
		}

		@Override
		public int unfinished() {
			return this.requests.unfinished();
		}

		@Override
		public void end(boolean complete) {
			Node.this.end(complete);
		}

	}

}
