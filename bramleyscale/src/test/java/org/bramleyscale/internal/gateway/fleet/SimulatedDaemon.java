package org.bramleyscale.internal.gateway.fleet;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.address.RendezvousHash;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointNotices;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.backend.FleetPresence;
import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.contention.ContentionMetrics;
import org.bramleyscale.internal.gateway.contention.ContentionQueues;
import org.bramleyscale.internal.gateway.crash.FleetCrashGuard;
import org.bramleyscale.internal.gateway.crash.TrialHolders;
import org.bramleyscale.internal.gateway.eligibility.EndpointRules;
import org.bramleyscale.internal.gateway.eligibility.RequestedBackoff;
import org.bramleyscale.internal.gateway.follow.UpdateRoutes;
import org.bramleyscale.internal.gateway.hold.MemoryHolds;
import org.bramleyscale.internal.gateway.hold.NoOrders;
import org.bramleyscale.internal.gateway.limit.FleetLimits;
import org.bramleyscale.internal.gateway.load.DemandTracker;
import org.bramleyscale.internal.gateway.load.LoadTracker;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.node.NodeReachability;
import org.bramleyscale.internal.gateway.node.SimulatedEntries;
import org.bramleyscale.internal.gateway.placement.PlainPlacement;
import org.bramleyscale.internal.gateway.reachability.ComparingEndpointCheck;
import org.bramleyscale.internal.gateway.reachability.FleetReachability;
import org.bramleyscale.internal.gateway.reachability.IndirectChecks;
import org.bramleyscale.internal.gateway.reachability.PathMonitor;
import org.bramleyscale.internal.gateway.request.CallerReply;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.GatewayMetrics;
import org.bramleyscale.internal.gateway.request.GatewayPorts;
import org.bramleyscale.internal.gateway.request.GatewayService;
import org.bramleyscale.internal.gateway.request.HeldBytes;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.peer.VmCapacity;

/**
 * One start of a daemon, which runs the production classes of the gateway on a simulated
 * network. Confined to the test's thread.
 */
public final class SimulatedDaemon implements PeerNetwork, UpdateRoutes, TrialHolders {

	private static final RendezvousHash<VmId> HASH = new RendezvousHash<>(VmId::value);

	/** Latency of a message between daemons. */
	private static final Duration PEER_LATENCY = Duration.ofMillis(60);

	/** Time within which a daemon's start is known to the others. */
	private static final Duration START_LEARNT_WITHIN = Duration.ofMillis(500);

	private static final Duration ADDRESSES_KEPT = Duration.ofSeconds(1);

	private static final int LARGE_MILLICORES = 1_500;

	private static final int SMALL_MILLICORES = 360;

	private static final int LINK_MBPS = 1_000;

	private static final int DATA_CENTRES = 3;

	/** Number of relays in each data centre of a large fleet. */
	private static final int RELAYS_PER_DATA_CENTRE = 2;

	final GatewayFleet fleet;

	private final int index;

	private final VmId vm;

	private final BackendTable backends;

	final FleetCrashGuard crashes;

	private final FleetLimits limits;

	final GatewayService service;

	private final Map<Class<?>, PeerListener<?>> listeners = new HashMap<>();

	private final long startedAt;

	private final SimulatedEntries entries;

	final SimulatedConnections connections;

	private final PathMonitor paths;

	private final FleetReachability reachability;

	final MetricRegistry metrics = new MetricRegistry();

	final DaemonScheduler clock;

	private boolean killed;

	private long killedAt;

	SimulatedDaemon(GatewayFleet fleet, int index) {
		this.fleet = fleet;
		this.index = index;
		this.startedAt = fleet.scheduler.nanos();
		this.vm = new VmId("d" + index);
		this.clock = new DaemonScheduler(fleet.scheduler);
		DaemonScheduler clock = this.clock;
		this.backends = new BackendTable(clock, DecisionLog.NONE);
		this.connections = new SimulatedConnections(fleet, this);
		this.paths = new PathMonitor(clock, this.connections, this.backends, new Random(index), DecisionLog.NONE);
		this.connections.onConnection(this.paths);
		this.crashes = new FleetCrashGuard(
				new FleetCrashGuard.Ports(clock, this, this, this.fleet.store.during(() -> !this.killed), this,
						DecisionLog.NONE, this.metrics),
				new ComparingEndpointCheck(this.connections, this.paths),
				new IndirectChecks(clock, this, this.connections, this.backends, new Random(index)),
				this.backends::acceptsRequests, () -> index == 0);
		this.limits = new FleetLimits(clock, this, this, this::rank, DecisionLog.NONE, new MetricRegistry());
		this.backends.onUnplannedEnd(this.crashes::endpointRemoved);
		BackendHealth health = new BackendHealth(clock, DecisionLog.NONE);
		LoadTracker loads = new LoadTracker(clock);
		this.reachability = new FleetReachability(clock, this, this, new Incarnation(this.vm, 1 + this.startedAt),
				this.paths::lostByPeer, DecisionLog.NONE);
		ContentionQueues contention = new ContentionQueues(clock, new ContentionMetrics(new MetricRegistry()));
		CatalogHolder catalogs = new CatalogHolder();
		catalogs.offer(Catalog.builder(1)
			.account(new Account(new ClientAccountId("hule"), OptionalInt.empty()), List.of("key"))
			.route(route("log", GatewayFleet.REPEATABLE).idempotent(true).maxAttempts(2).build())
			.route(route("book", GatewayFleet.NOT_REPEATABLE).build())
			.build());
		GatewayPorts ports = new GatewayPorts(clock, GatewayFleet.DATA_CENTRE, this.connections,
				new PlainPlacement(this.backends, health, loads, this.fleet.random),
				new EndpointNotices(new FleetPresence(clock, this, this, this.backends), health), health, this.paths,
				loads, new DemandTracker(clock), contention, fleet.budgets.budget(index, clock),
				EndpointRules.builder().rule(new RequestedBackoff(health)).quota(this.limits).build(), this.limits,
				this.crashes, new MemoryHolds(clock, new NoOrders(), this.backends::hasRestarted, (engine) -> true,
						"d" + index, DecisionLog.NONE),
				new HeldBytes(1_000_000), () -> {
				}, DecisionLog.NONE, new GatewayMetrics(new MetricRegistry()));
		this.service = new GatewayService(ports, catalogs, (left) -> true, this.fleet.random);
		this.entries = new SimulatedEntries(clock, this.vm, this.fleet::members, this, this.fleet.relays(),
				this.fleet::activeRequests, this.reachability);
		new NodeReachability(this.paths, this.reachability, this.backends, health, contention)
			.start(this.entries::selectsSelf, this.fleet.daemons::size, ADDRESSES_KEPT);
	}

	private static Route.Builder route(String name, String prefix) {
		return Route.builder(name, "hire.example", prefix)
			.service(GatewayFleet.SERVICE.value())
			.timeout(Duration.ofSeconds(10))
			.targetLatency(Duration.ofMillis(300));
	}

	@Override
	public Incarnation self() {
		return new Incarnation(this.vm, 1 + this.startedAt);
	}

	/**
	 * {@inheritDoc} Daemons learn of each other's starts with some delay, and of one that
	 * was lost before their own start never.
	 */
	@Override
	public State state(Incarnation holder) {
		long now = this.fleet.scheduler.nanos();
		SimulatedDaemon daemon = this.fleet.daemons.stream()
			.filter((each) -> each.vm.equals(holder.vm()))
			.findFirst()
			.orElseThrow();
		boolean known = daemon == this || now - daemon.startedAt > START_LEARNT_WITHIN.toNanos();
		if (!daemon.self().equals(holder) && known) {
			return State.ENDED;
		}
		boolean lostBefore = daemon.killed && daemon.killedAt < this.startedAt;
		return (lostBefore && now - this.startedAt > GatewayFleet.SETTLING_TIME.toNanos()) ? State.UNKNOWN
				: State.MAY_RUN;
	}

	/**
	 * The daemon's position in the fleet.
	 * @param address an address that callers use
	 * @return the position
	 */
	static int indexOf(String address) {
		return Integer.parseInt(address.substring(1, address.indexOf(':')));
	}

	Member member() {
		VmCapacity capacity = new VmCapacity(isLarge() ? LARGE_MILLICORES : SMALL_MILLICORES, LINK_MBPS);
		return new Member(new Incarnation(this.vm, 1), new DataCentre("dc" + this.index % DATA_CENTRES),
				this.vm + ":90", this.vm + ":80", Member.State.ALIVE, capacity);
	}

	private boolean isLarge() {
		return this.fleet.fullMesh() || isRelay();
	}

	/**
	 * The addresses that this daemon returns to callers.
	 * @return {@code host:port} of each
	 */
	List<String> addresses() {
		return this.entries.addresses();
	}

	@Override
	public boolean send(VmId to, PeerMessage message) {
		this.fleet.onPeerMessage.accept(message);
		if (this.fleet.random.nextDouble() < this.fleet.messageLoss) {
			return true;
		}
		this.fleet.scheduler.schedule(PEER_LATENCY,
				() -> this.fleet.daemons.stream()
					.filter((daemon) -> daemon.vm.equals(to) && !this.killed)
					.filter((daemon) -> this.fleet.connected.test(this.index, daemon.index))
					.forEach((daemon) -> daemon.received(this, message)));
		return true;
	}

	/**
	 * Kills this daemon: what it does from now on reaches nobody, and endpoints drop its
	 * requests.
	 */
	void kill() {
		this.killed = true;
		this.killedAt = this.fleet.scheduler.nanos();
		this.fleet.endpoints.values().forEach((endpoint) -> endpoint.running.removeIf((sent) -> sent.from == this));
	}

	/**
	 * Receives a request; one that reaches a killed daemon is lost.
	 * @param request the request
	 * @param caller records the answer
	 */
	void handle(CallerRequest request, CallerReply caller) {
		if (!this.killed) {
			this.clock.run(() -> this.service.handle(request, caller));
		}
	}

	boolean killed() {
		return this.killed;
	}

	boolean settled() {
		boolean running = this.fleet.scheduler.nanos() - this.startedAt > GatewayFleet.SETTLING_TIME.toNanos();
		return running && this.fleet.store.stableFor(GatewayFleet.SETTLING_TIME);
	}

	@SuppressWarnings("unchecked")
	private void received(SimulatedDaemon from, PeerMessage message) {
		this.clock.run(() -> ((PeerListener<PeerMessage>) this.listeners.get(message.getClass()))
			.received(new Incarnation(from.vm, 1), message));
	}

	/**
	 * Whether this daemon knows that another is running. While a daemon has only just
	 * started, half of the others don't know of it.
	 * @param other the other daemon
	 * @return true if this daemon knows of it
	 */
	private boolean knows(SimulatedDaemon other) {
		boolean justStarted = this.fleet.scheduler.nanos() - other.startedAt < GatewayFleet.SETTLING_TIME.toNanos();
		boolean unaware = (this.vm.hashCode() + other.vm.hashCode()) % 2 == 0;
		return other == this || !justStarted || !unaware;
	}

	/**
	 * This daemon's rank among all that it knows to be running.
	 * @param endpoint the endpoint
	 * @return the rank, 0 for the first
	 */
	private int rank(EndpointStart endpoint) {
		List<VmId> all = this.fleet.daemons.stream().filter(this::knows).map((daemon) -> daemon.vm).toList();
		return HASH.ranked(endpoint.toString(), all).indexOf(this.vm);
	}

	@Override
	public Set<VmId> connected() {
		Set<VmId> others = new TreeSet<>(Comparator.comparing(VmId::value));
		this.fleet.daemons.stream()
			.map((daemon) -> daemon.vm)
			.filter((other) -> !other.equals(this.vm))
			.forEach(others::add);
		return others;
	}

	@Override
	public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
		this.listeners.put(type, listener);
	}

	@Override
	public Collection<VmId> originRecipients() {
		if (this.fleet.fullMesh()) {
			return connected();
		}
		return isRelay() ? relayTargets() : others((other) -> other.isRelay() && inSameDataCentre(other));
	}

	@Override
	public Collection<VmId> forwardRecipients(VmId from) {
		if (this.fleet.fullMesh() || !isRelay()) {
			return List.of();
		}
		boolean fromSameDataCentre = this.fleet.daemons.stream()
			.anyMatch((other) -> other.vm.equals(from) && inSameDataCentre(other));
		Collection<VmId> to = fromSameDataCentre ? relayTargets() : others(this::inSameDataCentre);
		return to.stream().filter((vm) -> !vm.equals(from)).toList();
	}

	private Collection<VmId> relayTargets() {
		return others((other) -> inSameDataCentre(other) || other.isRelay());
	}

	boolean isRelay() {
		return this.index < DATA_CENTRES * RELAYS_PER_DATA_CENTRE;
	}

	static Set<VmId> relays() {
		return IntStream.range(0, DATA_CENTRES * RELAYS_PER_DATA_CENTRE)
			.mapToObj((each) -> new VmId("d" + each))
			.collect(Collectors.toSet());
	}

	private boolean inSameDataCentre(SimulatedDaemon other) {
		return other.index % DATA_CENTRES == this.index % DATA_CENTRES;
	}

	private Collection<VmId> others(Predicate<SimulatedDaemon> which) {
		return this.fleet.daemons.stream()
			.filter((other) -> !other.vm.equals(this.vm) && which.test(other))
			.map((other) -> other.vm)
			.toList();
	}

	void putEntry(SimulatedEndpoint endpoint) {
		this.backends.put(endpoint.backend);
	}

	void lapseEntry(SimulatedEndpoint endpoint) {
		this.backends.remove(endpoint.backend.id(), Duration.ZERO);
	}

	/**
	 * Whether this daemon sends requests to an endpoint.
	 * @param endpoint the endpoint
	 * @return false once it knows that the endpoint is leaving or was removed
	 */
	public boolean acceptsRequests(SimulatedEndpoint endpoint) {
		return this.backends.acceptsRequests(endpoint.backend);
	}

	void removeEntry(Backend backend) {
		this.backends.remove(backend.id(), BackendTable.LAPSE_GRACE_PERIOD);
	}

}
