package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.Incarnation;
import org.bramleyscale.Region;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointNotices;
import org.bramleyscale.internal.gateway.backend.EntriesState;
import org.bramleyscale.internal.gateway.backend.FleetPresence;
import org.bramleyscale.internal.gateway.catalog.AllowedRegions;
import org.bramleyscale.internal.gateway.catalog.CallerLimits;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.contention.ContentionMetrics;
import org.bramleyscale.internal.gateway.contention.ContentionQueues;
import org.bramleyscale.internal.gateway.crash.FleetCrashGuard;
import org.bramleyscale.internal.gateway.eligibility.EndpointRules;
import org.bramleyscale.internal.gateway.eligibility.RequestScope;
import org.bramleyscale.internal.gateway.eligibility.RequestedBackoff;
import org.bramleyscale.internal.gateway.evacuation.EvacuatedDataCentres;
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
import org.bramleyscale.internal.gateway.limit.ColdEndpoints;
import org.bramleyscale.internal.gateway.limit.FleetLimits;
import org.bramleyscale.internal.gateway.limit.HolderFleet;
import org.bramleyscale.internal.gateway.load.DemandTracker;
import org.bramleyscale.internal.gateway.load.LoadExchange;
import org.bramleyscale.internal.gateway.load.LoadTracker;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.placement.EnginePlacement;
import org.bramleyscale.internal.gateway.placement.PlacementPolicy;
import org.bramleyscale.internal.gateway.placement.PlainPlacement;
import org.bramleyscale.internal.gateway.reachability.ComparingEndpointCheck;
import org.bramleyscale.internal.gateway.reachability.FleetReachability;
import org.bramleyscale.internal.gateway.reachability.IndirectChecks;
import org.bramleyscale.internal.gateway.reachability.PathMonitor;
import org.bramleyscale.internal.gateway.region.AllowedRegionRule;
import org.bramleyscale.internal.gateway.region.PreferredDaemons;
import org.bramleyscale.internal.gateway.request.GatewayMetrics;
import org.bramleyscale.internal.gateway.request.GatewayPorts;
import org.bramleyscale.internal.gateway.request.GatewayService;
import org.bramleyscale.internal.gateway.request.HeldBytes;
import org.bramleyscale.internal.gateway.request.OpenRequests;
import org.bramleyscale.internal.gateway.request.StartupQueue;
import org.bramleyscale.internal.gateway.retry.FleetConstantShare;
import org.bramleyscale.internal.gateway.retry.RetryBudget;
import org.bramleyscale.internal.membership.MembershipService;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.TcpPeerNetwork;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.status.StatusSummary;

/**
 * One daemon that relays requests: its components, their sockets and their thread.
 *
 * <p>
 * Invariant: components are called on the loop's thread only. The public methods may be
 * called from any other thread, except where they say otherwise. <pre>
 * GatewayNode node = GatewayNode.create(settings, dependencies, onStopped);
 * node.start();
 * </pre>
 */
public final class GatewayNode {

	/** The interval between sweeps of expired state and lost connections. */
	private static final Duration SWEEP_INTERVAL = Duration.ofMillis(100);

	private final GatewaySettings settings;

	private final Dependencies dependencies;

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

	private final Optional<EvacuatedDataCentres> evacuated;

	private final ColdEndpoints cold;

	private final NodeReachability reachability;

	private final Incarnation self;

	private final TcpPeerNetwork network;

	private final MembershipService membership;

	private final FleetDirectory directory;

	private final EntryList entries;

	private final OpenRequests openRequests = new OpenRequests();

	private final CallerServer callers;

	private final LoadExchange loadExchange;

	private final PeerCopies copies;

	private final LeaveSequence leave;

	private final FleetStatus status;

	private final Registration registration;

	private final StartConditions conditions;

	private GatewayNode(GatewaySettings settings, Dependencies dependencies, RegisteredDaemons daemons,
			Registration registration, Runnable onStopped) {
		this.settings = settings;
		this.dependencies = dependencies;
		this.registration = registration;
		NettyLoop loop = dependencies.loop();
		DecisionLog log = dependencies.log();
		this.self = new Incarnation(settings.vm(), registration.start());
		PeerSetup peers = new PeerSetup(settings, this.self);
		this.backends = new BackendTable(loop, log);
		ObjectCopies catalogCopies = new ObjectCopies(
				new CatalogEntry(dependencies.documents(), this.catalogs, settings.features().regions(), log)::changed);
		this.health = new BackendHealth(loop, log);
		this.loads = new LoadTracker(loop);
		BackendEntries backendEntries = new BackendEntries(dependencies.documents(), this.backends, this.health,
				this.loads, this::sinceOutage, log);
		ObjectCopies backendCopies = new ObjectCopies(backendEntries::changed);
		this.health.logEntries(() -> new EntriesState(StoreRevision.text(backendCopies.complete()),
				backendCopies.ageMillis(loop.nanos())));
		FollowTimes times = FollowTimes.within(settings.propagationLimit());
		this.catalogFollower = follower(dependencies.documents().catalogKind(), daemons, catalogCopies, times);
		this.backendFollower = follower(dependencies.documents().backendKind(), daemons, backendCopies, times);
		this.network = new TcpPeerNetwork(peers.connections(), loop.forPeers(), loop,
				new MessageCodec(peers.messages()), this.random, dependencies.metrics());
		this.membership = MembershipService.builder()
			.settings(peers.membership())
			.scheduler(loop)
			.network(this.network)
			.store(daemons)
			.random(this.random)
			.metrics(dependencies.metrics())
			.build();
		this.directory = new FleetDirectory(this.membership);
		backendCopies.onLaterEra((revision) -> this.registration.renewIfLost(revision, this.random,
				this.membership.expectedDaemonCount()));
		BackendConnectionPool connections = new BackendConnectionPool(loop, dependencies.dialect(), log);
		ContentionQueues contention = new ContentionQueues(loop, new ContentionMetrics(dependencies.metrics()));
		PathMonitor paths = new PathMonitor(loop, connections, this.backends, this.random, log);
		connections.onConnection(paths);
		this.reachability = new NodeReachability(paths,
				new FleetReachability(loop, this.network, this.directory, this.self, paths::lostByPeer, log),
				this.backends, this.health, contention);
		this.reachability.register(dependencies.metrics());
		this.crashes = new FleetCrashGuard(
				new FleetCrashGuard.Ports(loop, this.network, this.directory, dependencies.store(),
						new MemberTrialHolders(loop, this.membership, this.self, this.directory::flat), log,
						dependencies.metrics()),
				new ComparingEndpointCheck(connections, paths),
				new IndirectChecks(loop, this.network, connections, this.backends, this.random),
				this.backends::acceptsRequests, () -> this.directory.storeRank() == 0);
		this.limits = new FleetLimits(loop, this.network, this.directory, this.directory, log, dependencies.metrics());
		NodeHolderFleet holderFleet = new NodeHolderFleet(loop, this.membership, this.directory, daemons);
		this.cold = ColdEndpoints.create(loop, this.network, holderFleet, settings.vm(),
				settings.features().coldBounds(), this.catalogs::current, log, dependencies.metrics());
		backendEntries.reportTo(this.cold);
		this.backends.onUnplannedEnd((endpoint) -> {
			this.crashes.endpointRemoved(endpoint);
			this.limits.remove(endpoint);
		});
		ObjectCopies crashCopies = new ObjectCopies(this.crashes::recordChanged);
		this.crashFollower = follower(FleetCrashGuard.KIND, daemons, crashCopies, FollowTimes.RELAXED);
		this.evacuated = settings.features().evacuationLimit().map((limit) -> evacuatedDataCentres(limit, daemons));
		Map<String, ObjectCopies> kinds = new HashMap<>(Map.of(dependencies.documents().catalogKind(), catalogCopies,
				dependencies.documents().backendKind(), backendCopies, FleetCrashGuard.KIND, crashCopies));
		this.conditions = new StartConditions(loop, log).add("configuration", () -> this.catalogs.current().isPresent())
			.add("endpoints", () -> !this.backends.all().isEmpty())
			.add("evacuations", () -> this.evacuated.map(EvacuatedDataCentres::known).orElse(true));
		this.evacuated
			.ifPresent((evacuations) -> kinds.put(dependencies.documents().evacuationKind(), evacuations.copies()));
		this.copies = new PeerCopies(this.self, loop, this.network, kinds, this.directory, log);
		kinds.forEach((kind, held) -> dependencies.metrics()
			.gauge("gateway.copies." + kind + ".age_ms", () -> () -> held.ageMillis(loop.nanos())));
		DemandTracker demands = new DemandTracker(loop);
		this.loadExchange = new LoadExchange(loop, this.network, settings.vm(), this.directory, this.loads, demands);
		this.entries = new EntryList(loop, this.membership, this.network, new NodeFleetView(settings.vm(),
				this::configured, daemons, this.loadExchange, this.reachability.fleet(), this.directory, this.loads),
				log, this.random);
		PlacementPolicy plainPlacement = new PlainPlacement(this.backends, this.health, this.loads, this.random);
		PlacementPolicy enginePlacement = new EnginePlacement(this.backends, this.health, this.loads, demands,
				this.random);
		EndpointNotices notices = new EndpointNotices(
				new FleetPresence(loop, this.network, this.directory, this.backends), this.health);
		dependencies.orders().onNotice(notices::apply);
		EndpointRules.Builder ruleBuilder = EndpointRules.builder()
			.rule(new RequestedBackoff(this.health))
			.rule(new AllowedRegionRule(settings.features().regions(),
					() -> this.catalogs.current().filter(Catalog::regionsRestricted).isPresent()))
			.quota(this.limits)
			.quota(this.cold);
		this.evacuated.ifPresent(ruleBuilder::rule);
		EndpointRules rules = ruleBuilder.build();
		MemoryHolds holds = new MemoryHolds(loop, dependencies.orders(), this.backends::hasRestarted,
				(engine) -> notices.acceptsRequests(engine) && !rules.blocks(engine, RequestScope.ANY),
				this.self.toString(), log);
		demands.onPeerChange(contention::capacityMayBeFree);
		HeldBytes heldBytes = HeldBytes.ofThisProcess();
		dependencies.metrics().gauge("gateway.held_bytes", () -> heldBytes::total);
		GatewayPorts ports = new GatewayPorts(loop, settings.dataCentre(), connections,
				(request) -> (request.service().engine().isPresent() ? enginePlacement : plainPlacement).place(request),
				notices, this.health, paths, this.loads, demands, contention, retryBudget(holderFleet), rules,
				this.limits, this.crashes, holds, heldBytes, this.loadExchange::sendUpdate, log,
				new GatewayMetrics(dependencies.metrics()));
		GatewayService service = new GatewayService(ports, this.catalogs, this::accepts, this.random);
		StartupQueue requests = new StartupQueue(loop, this::configured, service);
		this.callers = new CallerServer(loop, this.openRequests, requests, dependencies.dialect(),
				() -> this.catalogs.current().map(Catalog::limits).orElse(CallerLimits.DEFAULT));
		this.status = new FleetStatus(this.membership, this.backends, this.health, this.loads, this.catalogs,
				this::isEvacuated);
		this.leave = new LeaveSequence(loop, settings,
				new LeaveActions(this.callers, this.membership, this.openRequests, onStopped), log);
		dependencies.metrics().gauge("gateway.connections.callers", () -> this.callers::connections);
		dependencies.metrics().gauge("gateway.connections.opened", () -> connections::openedCount);
		dependencies.metrics().gauge("gateway.connections.reused", () -> connections::reusedCount);
		dependencies.metrics().gauge("gateway.unfinished", () -> this.openRequests::count);
	}

	/**
	 * Creates a daemon that doesn't listen yet; blocks while its own record is read.
	 * @param settings its settings
	 * @param dependencies its external dependencies
	 * @param onStopped called once when a planned stop is complete
	 * @return the daemon
	 */
	public static GatewayNode create(GatewaySettings settings, Dependencies dependencies, Runnable onStopped) {
		RegisteredDaemons daemons = new RegisteredDaemons(dependencies.store());
		Registration registration = Registration.afterPreviousStart(settings, dependencies, daemons);
		return CompletableFuture
			.supplyAsync(() -> new GatewayNode(settings, dependencies, daemons, registration, onStopped),
					dependencies.loop()::execute)
			.join();
	}

	/**
	 * Starts to listen and joins the fleet.
	 * @throws Exception if an address can't be used
	 */
	public void start() throws Exception {
		this.callers.listen(this.dependencies.loop(), this.settings.callers());
		this.network.start(this.directory);
		CompletableFuture.runAsync(this::startComponents, this.dependencies.loop()::execute).get();
	}

	/**
	 * Starts the planned stop.
	 */
	public void beginLeave() {
		this.dependencies.loop().execute(this.leave::begin);
	}

	/**
	 * Whether this daemon can serve callers; on the loop's thread only.
	 * @return true once it knows the configuration, endpoints and evacuations, until it
	 * starts to stop
	 */
	public boolean ready() {
		return !this.leave.begun() && configured();
	}

	private boolean configured() {
		return this.conditions.allMet();
	}

	private boolean isEvacuated(Backend endpoint) {
		return this.evacuated.map((evacuations) -> evacuations.isEvacuated(endpoint.dataCentre())).orElse(false);
	}

	/**
	 * The addresses that callers should use; on the loop's thread only.
	 * @return {@code host:port} of each
	 */
	public List<String> addresses() {
		return this.entries.addresses(this.leave.begun(), PreferredDaemons.ANY);
	}

	/**
	 * The addresses that the callers of a host should use; on the loop's thread only.
	 * @param host the host
	 * @param caller the callers' region, if known
	 * @return {@code host:port} of each
	 */
	public List<String> addresses(String host, Optional<Region> caller) {
		AllowedRegions allowed = this.catalogs.current()
			.map((catalog) -> catalog.allowedRegions(host))
			.orElse(AllowedRegions.ANY);
		return this.entries.addresses(this.leave.begun(),
				PreferredDaemons.of(allowed, caller, this.settings.features().regions()));
	}

	/**
	 * Returns a wait until this daemon has an address to return to callers.
	 * @return the wait, not started
	 */
	public FirstAddresses firstAddresses() {
		return new FirstAddresses(this.dependencies.loop(), this::addresses);
	}

	/**
	 * Dumps the state of this daemon for operators; on the loop's thread only.
	 * @return the state by component
	 */
	public Map<String, Object> dump() {
		Map<String, Object> state = new LinkedHashMap<>();
		state.put("daemon", this.self.toString());
		state.put("ready", ready());
		state.put("waitsFor", this.conditions.unmet());
		state.put("leaving", this.leave.begun());
		state.put("catalog", this.catalogs.current().map(Catalog::version).orElse(0L));
		state.put("routes", this.catalogs.current().map(Catalog::routeCount).orElse(0));
		state.put("regions", this.settings.features().regions().regions().toString());
		state.put("storeSilentMillis", this.backendFollower.silence().toMillis());
		state.put("unfinished", this.openRequests.count());
		state.put("endpoints", this.backends.all().stream().map(Object::toString).sorted().toList());
		state.put("addresses", addresses());
		this.evacuated.ifPresent((evacuations) -> state.put("evacuations", evacuations.dump()));
		state.put("membership", this.membership.dump());
		return state;
	}

	/**
	 * Summarizes this daemon's view of the fleet for operators; on the loop's thread
	 * only.
	 * @return the summary
	 */
	public StatusSummary status() {
		return new StatusSummary(this.self, this.dependencies.loop().wallTime(), ready(),
				this.catalogs.current().map(Catalog::version).orElse(0L), this.backendFollower.silence().toMillis(),
				this.status.daemons(), this.status.endpoints(), List.of(), List.of());
	}

	private void startComponents() {
		this.catalogFollower.start();
		this.backendFollower.start();
		this.crashFollower.start();
		this.evacuated.ifPresent(EvacuatedDataCentres::start);
		this.membership.start();
		this.copies.start();
		this.loadExchange.start();
		this.reachability.start(this.entries::selectsSelf, () -> this.membership.eligible().size(),
				this.settings.addressKeepFor());
		this.dependencies.loop().repeat(SWEEP_INTERVAL, () -> {
			this.backends.expire();
			this.crashes.expire();
			this.cold.expire();
			this.entries.observe();
			this.conditions.observe();
		});
		this.registration.register();
	}

	private StoreFollower follower(String kind, ObjectStore store, ObjectCopies copies, FollowTimes times) {
		StoreFollower follower = new StoreFollower(kind, this.dependencies.loop(), this.random, store, copies,
				new StoreOrder(() -> this.directory.storeRank(), () -> this.copies.isolated(),
						() -> this.membership.members().size() > 1),
				times, this.dependencies.log());
		follower
			.onUpdate((from) -> this.copies.push(kind, from, follower.sinceOutage(), this.directory.storeRank() == 0));
		return follower;
	}

	private EvacuatedDataCentres evacuatedDataCentres(Duration limit, ObjectStore store) {
		EvacuatedDataCentres evacuations = new EvacuatedDataCentres(this.dependencies.loop(), limit,
				this.settings.features().longestPartition(), this.backends::all, this.dependencies.log());
		evacuations.follow(follower(this.dependencies.documents().evacuationKind(), store, evacuations.copies(),
				FollowTimes.within(limit)));
		this.dependencies.metrics().gauge("gateway.evacuated_data_centres", () -> evacuations::count);
		return evacuations;
	}

	/**
	 * The time since the last outage in which an entry that is missing may have expired,
	 * by the calls of this daemon and the reports of its peers.
	 * @return the time
	 */
	private Duration sinceOutage() {
		return this.backendFollower.sinceOutage(this.copies.sinceOutage());
	}

	private boolean accepts(Duration timeLeft) {
		return this.leave.accepts(timeLeft);
	}

	private RetryBudget retryBudget(HolderFleet fleet) {
		NettyLoop loop = this.dependencies.loop();
		FleetConstantShare share = new FleetConstantShare(loop, this.settings.vm(), fleet,
				this.settings.retryConstant(), this.settings.retryWindow());
		share.start(this.network);
		this.dependencies.metrics().gauge("gateway.retries.share", () -> share::retries);
		return new RetryBudget(loop, this.settings.retryWindow(), this.settings.retryRatio(), share);
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

}
