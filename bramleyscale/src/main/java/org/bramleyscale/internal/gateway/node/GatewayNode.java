package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointNotices;
import org.bramleyscale.internal.gateway.backend.FleetPresence;
import org.bramleyscale.internal.gateway.catalog.CallerLimits;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.crash.FleetCrashGuard;
import org.bramleyscale.internal.gateway.follow.FollowOrder;
import org.bramleyscale.internal.gateway.follow.FollowTimes;
import org.bramleyscale.internal.gateway.follow.ObjectCopies;
import org.bramleyscale.internal.gateway.follow.PeerCopies;
import org.bramleyscale.internal.gateway.follow.StoreFollower;
import org.bramleyscale.internal.gateway.hold.EngineOrders;
import org.bramleyscale.internal.gateway.hold.MemoryHolds;
import org.bramleyscale.internal.gateway.http.BackendConnectionPool;
import org.bramleyscale.internal.gateway.http.CallerServer;
import org.bramleyscale.internal.gateway.http.NettyLoop;
import org.bramleyscale.internal.gateway.http.WireDialect;
import org.bramleyscale.internal.gateway.limit.FleetLimits;
import org.bramleyscale.internal.gateway.load.DemandTracker;
import org.bramleyscale.internal.gateway.load.LoadExchange;
import org.bramleyscale.internal.gateway.load.LoadTracker;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.placement.EnginePlacement;
import org.bramleyscale.internal.gateway.placement.PlacementPolicy;
import org.bramleyscale.internal.gateway.placement.PlainPlacement;
import org.bramleyscale.internal.gateway.request.GatewayMetrics;
import org.bramleyscale.internal.gateway.request.GatewayPorts;
import org.bramleyscale.internal.gateway.request.GatewayService;
import org.bramleyscale.internal.gateway.request.StartupQueue;
import org.bramleyscale.internal.gateway.retry.RetryBudget;
import org.bramleyscale.internal.membership.MembershipService;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.TcpPeerNetwork;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.status.StatusSummary;

/**
 * One daemon that relays requests: its components, their sockets and their thread.
 *
 * <p>
 * Invariant: components are called on the loop's thread only. The public methods may be
 * called from any other thread, except where they say otherwise. <pre>
 * GatewayNode node = GatewayNode.create(settings, parts, onStopped);
 * node.start();
 * </pre>
 */
public final class GatewayNode {

	/** The interval between sweeps of expired state and lost connections. */
	private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);

	/**
	 * The time after an outage of the store in which entries removed from its list count
	 * as expired.
	 */
	private static final Duration OUTAGE_WINDOW = Duration.ofSeconds(3);

	private final GatewaySettings settings;

	private final Dependencies parts;

	private final SplittableRandom random = new SplittableRandom();

	private final CatalogHolder catalogs = new CatalogHolder();

	private final BackendTable backends;

	private final BackendHealth health;

	private final LoadTracker loads;

	private final StoreFollower catalogFollower;

	private final StoreFollower backendFollower;

	private final StoreFollower crashFollower;

	private final FleetCrashGuard crashes;

	private final FleetLimits limits;

	private final Incarnation self;

	private final TcpPeerNetwork network;

	private final MembershipService membership;

	private final FleetDirectory directory;

	private final EntryList entries;

	private final GatewayService service;

	private final CallerServer callers;

	private final LoadExchange loadExchange;

	private final PeerCopies copies;

	private final LeaveSequence leave;

	private final FleetStatus status;

	private final Registration registration;

	private GatewayNode(GatewaySettings settings, Dependencies parts, RegisteredDaemons daemons,
			Registration registration, Runnable onStopped) {
		this.settings = settings;
		this.parts = parts;
		this.registration = registration;
		NettyLoop loop = parts.loop();
		DecisionLog log = parts.log();
		this.self = new Incarnation(settings.vm(), registration.start());
		PeerSetup peers = new PeerSetup(settings, this.self);
		this.backends = new BackendTable(loop, log);
		ObjectCopies catalogKind = new ObjectCopies(new CatalogEntry(parts.documents(), this.catalogs, log)::changed);
		this.health = new BackendHealth(loop, log);
		this.loads = new LoadTracker(loop);
		ObjectCopies backendKind = new ObjectCopies(new BackendEntries(parts.documents(), this.backends, this.health,
				this.loads, this::mayHaveExpired, log)::changed);
		FollowTimes times = FollowTimes.within(settings.propagationLimit());
		this.catalogFollower = follower(parts.documents().catalogKind(), daemons, catalogKind, times);
		this.backendFollower = follower(parts.documents().backendKind(), daemons, backendKind, times);
		this.network = new TcpPeerNetwork(peers.connections(), loop.forPeers(), loop,
				new MessageCodec(peers.messages()), this.random, parts.metrics());
		this.membership = MembershipService.builder()
			.settings(peers.membership())
			.scheduler(loop)
			.network(this.network)
			.store(daemons)
			.random(this.random)
			.metrics(parts.metrics())
			.build();
		this.directory = new FleetDirectory(this.membership);
		BackendConnectionPool connections = new BackendConnectionPool(loop, parts.dialect());
		this.crashes = new FleetCrashGuard(
				new FleetCrashGuard.Ports(loop, this.network, this.directory, parts.store(), log, parts.metrics()),
				connections, this.backends::acceptsRequests, () -> this.directory.storeRank() == 0);
		this.limits = new FleetLimits(loop, this.network, this.directory, this.directory, log, parts.metrics());
		this.backends.onUnplannedEnd((endpoint) -> {
			this.crashes.endpointRemoved(endpoint);
			this.limits.forget(endpoint);
		});
		ObjectCopies crashKind = new ObjectCopies(this.crashes::recordChanged);
		this.crashFollower = follower(FleetCrashGuard.KIND, daemons, crashKind, FollowTimes.RELAXED);
		this.copies = new PeerCopies(
				this.self, loop, this.network, Map.of(parts.documents().catalogKind(), catalogKind,
						parts.documents().backendKind(), backendKind, FleetCrashGuard.KIND, crashKind),
				this.directory, log);
		DemandTracker demands = new DemandTracker(loop);
		this.loadExchange = new LoadExchange(loop, this.network, settings.vm(), this.directory, this.loads, demands);
		this.entries = new EntryList(loop, this.membership, this.network, new NodeFleetView(settings.vm(),
				this::configured, daemons, this.loadExchange, this.directory, this.loads), log);
		PlacementPolicy plainPlacement = new PlainPlacement(this.backends, this.health, this.loads, this.random);
		PlacementPolicy enginePlacement = new EnginePlacement(this.backends, this.health, this.loads, demands,
				this.random);
		EndpointNotices notices = new EndpointNotices(
				new FleetPresence(loop, this.network, this.directory, this.backends), this.health);
		parts.orders().onNotice(notices::apply);
		MemoryHolds holds = new MemoryHolds(loop, parts.orders(), this.backends::hasRestarted, notices::acceptsRequests,
				this.self.toString(), log);
		GatewayPorts ports = new GatewayPorts(loop, settings.dataCentre(), connections,
				(request) -> (request.service().engine().isPresent() ? enginePlacement : plainPlacement).place(request),
				notices, this.health, this.loads, demands, retryWindow(), this.limits, this.crashes, holds,
				this.loadExchange::sendUpdate, log, new GatewayMetrics(parts.metrics()));
		this.service = new GatewayService(ports, this.catalogs, this::accepts, this.random);
		StartupQueue requests = new StartupQueue(loop, this::configured, this.service);
		this.callers = new CallerServer(loop, requests, parts.dialect(),
				() -> this.catalogs.current().map(Catalog::limits).orElse(CallerLimits.DEFAULT));
		this.status = new FleetStatus(this.membership, this.backends, this.health, this.loads, this.catalogs);
		this.leave = new LeaveSequence(loop, settings, new LeaveActions(onStopped), log);
		parts.metrics().gauge("gateway.connections.callers", () -> this.callers::connections);
		parts.metrics().gauge("gateway.connections.opened", () -> connections::openedCount);
		parts.metrics().gauge("gateway.connections.reused", () -> connections::reusedCount);
		parts.metrics().gauge("gateway.unfinished", () -> this.service::activeRequestCount);
	}

	/**
	 * Creates a daemon that doesn't listen yet; blocks while its own record is read.
	 * @param settings its settings
	 * @param parts its external dependencies
	 * @param onStopped called once when a planned stop is complete
	 * @return the daemon
	 */
	public static GatewayNode create(GatewaySettings settings, Dependencies parts, Runnable onStopped) {
		RegisteredDaemons daemons = new RegisteredDaemons(parts.store());
		Registration registration = Registration.afterPreviousStart(settings, parts, daemons);
		return CompletableFuture
			.supplyAsync(() -> new GatewayNode(settings, parts, daemons, registration, onStopped),
					parts.loop()::execute)
			.join();
	}

	/**
	 * Starts to listen and joins the fleet.
	 * @throws Exception if an address can't be used
	 */
	public void start() throws Exception {
		this.callers.listen(this.settings.callers());
		this.network.start(this.directory);
		CompletableFuture.runAsync(this::startComponents, this.parts.loop()::execute).get();
	}

	/**
	 * Starts the planned stop.
	 */
	public void beginLeave() {
		this.parts.loop().execute(this.leave::begin);
	}

	/**
	 * Whether this daemon can serve callers; on the loop's thread only.
	 * @return true once it knows the configuration and endpoints, until it starts to stop
	 */
	public boolean ready() {
		return !this.leave.begun() && configured();
	}

	private boolean configured() {
		return this.catalogs.current().isPresent() && !this.backends.all().isEmpty();
	}

	/**
	 * The addresses that callers should use; on the loop's thread only.
	 * @return {@code host:port} of each
	 */
	public List<String> addresses() {
		return this.entries.addresses(this.leave.begun());
	}

	/**
	 * Returns a wait until this daemon has an address to return to callers.
	 * @return the wait, not started
	 */
	public FirstAddresses firstAddresses() {
		return new FirstAddresses(this.parts.loop(), this::addresses);
	}

	/**
	 * Dumps the state of this daemon for operators; on the loop's thread only.
	 * @return the state by component
	 */
	public Map<String, Object> dump() {
		Map<String, Object> state = new LinkedHashMap<>();
		state.put("daemon", this.self.toString());
		state.put("ready", ready());
		state.put("leaving", this.leave.begun());
		state.put("catalog", this.catalogs.current().map(Catalog::version).orElse(0L));
		state.put("routes", this.catalogs.current().map(Catalog::routeCount).orElse(0));
		state.put("storeSilentMillis", this.backendFollower.silence().toMillis());
		state.put("unfinished", this.service.activeRequestCount());
		state.put("endpoints", this.backends.all().stream().map(Object::toString).sorted().toList());
		state.put("addresses", addresses());
		state.put("membership", this.membership.dump());
		return state;
	}

	/**
	 * Summarizes this daemon's view of the fleet for operators; on the loop's thread
	 * only.
	 * @return the summary
	 */
	public StatusSummary status() {
		return new StatusSummary(this.self, this.parts.loop().wallTime(), ready(),
				this.catalogs.current().map(Catalog::version).orElse(0L), this.backendFollower.silence().toMillis(),
				this.status.daemons(), this.status.endpoints(), List.of(), List.of());
	}

	private void startComponents() {
		this.catalogFollower.start();
		this.backendFollower.start();
		this.crashFollower.start();
		this.membership.start();
		this.copies.start();
		this.loadExchange.start();
		this.parts.loop().repeat(SWEEP_INTERVAL, () -> {
			this.backends.expire();
			this.crashes.expire();
			this.entries.observe();
		});
		this.registration.register();
	}

	private StoreFollower follower(String kind, ObjectStore store, ObjectCopies copies, FollowTimes times) {
		StoreFollower follower = new StoreFollower(kind, this.parts.loop(), this.random, store, copies,
				new StoreOrder(), times, this.parts.log());
		follower
			.onUpdate((from) -> this.copies.push(kind, from, follower.sinceOutage(), this.directory.storeRank() == 0));
		return follower;
	}

	/**
	 * Whether a removed entry may only have expired, because the store was unavailable
	 * until recently to this daemon or to one that reported it.
	 * @return true if the endpoint, if it is alive, will soon be registered again
	 */
	private boolean mayHaveExpired() {
		return this.backendFollower.sinceOutage().compareTo(OUTAGE_WINDOW) < 0
				|| this.copies.sinceOutage().compareTo(OUTAGE_WINDOW) < 0;
	}

	private boolean accepts(Duration timeLeft) {
		return this.leave.accepts(timeLeft);
	}

	private RetryBudget retryWindow() {
		return new RetryBudget(this.parts.loop(), this.settings.retryWindow(), this.settings.retryRatio(),
				this.settings.retryConstant(), () -> Math.max(1, this.membership.expectedDaemonCount()));
	}

	/**
	 * The external dependencies of a daemon.
	 *
	 * @param loop its thread, clock and sockets
	 * @param store the platform's store
	 * @param documents reads the platform's documents
	 * @param dialect reads and writes headers
	 * @param orders sends orders to engines
	 * @param log the decision log
	 * @param metrics the registry of metrics
	 */
	public record Dependencies(NettyLoop loop, ObjectStore store, Documents documents, WireDialect dialect,
			EngineOrders orders, DecisionLog log, MetricRegistry metrics) {
	}

	/**
	 * The rank of this daemon in the order in which daemons query the store.
	 */
	private final class StoreOrder implements FollowOrder {

		@Override
		public int rank() {
			return GatewayNode.this.directory.storeRank();
		}

		@Override
		public boolean isolated() {
			return GatewayNode.this.copies.isolated();
		}

	}

	/**
	 * The effects of the planned stop on this daemon.
	 */
	private final class LeaveActions implements LeaveSequence.Actions {

		private final Runnable onStopped;

		private LeaveActions(Runnable onStopped) {
			this.onStopped = onStopped;
		}

		@Override
		public void announce() {
			GatewayNode.this.callers.leave();
			GatewayNode.this.membership.leave();
		}

		@Override
		public int unfinished() {
			return GatewayNode.this.service.activeRequestCount();
		}

		@Override
		public int connections() {
			return GatewayNode.this.callers.connections();
		}

		@Override
		public void end() {
			GatewayNode.this.callers.closeIdle();
			this.onStopped.run();
		}

	}

}
