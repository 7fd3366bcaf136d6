package org.bramleyscale.internal.gateway.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointNotices;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.CallerLimits;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.contention.ContentionMetrics;
import org.bramleyscale.internal.gateway.contention.ContentionQueues;
import org.bramleyscale.internal.gateway.crash.CrashGuard;
import org.bramleyscale.internal.gateway.eligibility.EndpointRules;
import org.bramleyscale.internal.gateway.hold.MemoryHolds;
import org.bramleyscale.internal.gateway.http.CallerServer;
import org.bramleyscale.internal.gateway.http.PlainDialect;
import org.bramleyscale.internal.gateway.limit.EndpointLimits;
import org.bramleyscale.internal.gateway.load.DemandTracker;
import org.bramleyscale.internal.gateway.load.LoadTracker;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.bramleyscale.internal.gateway.placement.PlacementPolicy;
import org.bramleyscale.internal.gateway.placement.PlacementRequest;
import org.bramleyscale.internal.gateway.reachability.EndpointPaths;
import org.bramleyscale.internal.gateway.request.BackendClient;
import org.bramleyscale.internal.gateway.request.BackendListener;
import org.bramleyscale.internal.gateway.request.GatewayMetrics;
import org.bramleyscale.internal.gateway.request.GatewayPorts;
import org.bramleyscale.internal.gateway.request.GatewayService;
import org.bramleyscale.internal.gateway.request.HeldBytes;
import org.bramleyscale.internal.gateway.request.OpenRequests;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;
import org.bramleyscale.internal.gateway.request.StartupQueue;
import org.bramleyscale.internal.gateway.retry.RetryBudget;
import org.bramleyscale.internal.peer.VmCapacity;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * A daemon that relays requests and is stopped, on a manual clock and without sockets.
 * Its endpoints have few slots, so that requests wait. Confined to the test's thread.
 */
final class StoppingGateway implements LeaveSequence.Actions {

	static final Duration GRACE = Duration.ofSeconds(8);

	static final Duration ADDRESS_KEEP = Duration.ofSeconds(1);

	static final CallerLimits LIMITS = new CallerLimits(8_192, 100_000, Duration.ofSeconds(3), Duration.ofSeconds(15));

	private static final ServiceName RANKED = new ServiceName("ranked");

	private static final ServiceName UNRANKED = new ServiceName("unranked");

	private static final ServiceName YARD = new ServiceName("yard");

	private static final int ENDPOINTS = 2;

	final ManualScheduler scheduler;

	final CallerServer callers;

	private final Supplier<SimulatedRun> runs;

	private final int slots;

	private final OpenRequests openRequests = new OpenRequests();

	private final Map<EndpointStart, Integer> busy = new HashMap<>();

	private final Map<ServiceName, List<Backend>> endpoints = new HashMap<>();

	private final LeaveSequence leave;

	/** Called with the id of each request that an endpoint receives, and its run. */
	BiConsumer<String, SimulatedRun> onReceived = (id, run) -> {
	};

	boolean exited;

	/**
	 * Starts the daemon.
	 * @param scheduler the clock
	 * @param slots the number of requests that an endpoint serves at once
	 * @param random draws what the daemon leaves to chance
	 * @param runs decides what becomes of each request at its endpoint
	 */
	StoppingGateway(ManualScheduler scheduler, int slots, Random random, Supplier<SimulatedRun> runs) {
		this.scheduler = scheduler;
		this.slots = slots;
		this.runs = runs;
		BackendTable backends = new BackendTable(scheduler, DecisionLog.NONE);
		for (ServiceName service : List.of(RANKED, UNRANKED, YARD)) {
			List<Backend> members = new ArrayList<>();
			for (int i = 0; i < ENDPOINTS; i++) {
				Backend endpoint = new Backend(EndpointStart.withUnknownStart(service + "-" + i), service,
						HostAndPort.fromParts("10.0.0.1", 80), new DataCentre("east"), slots, false);
				members.add(endpoint);
				backends.put(endpoint);
			}
			this.endpoints.put(service, members);
		}
		BackendHealth health = new BackendHealth(scheduler, DecisionLog.NONE);
		LoadTracker loads = new LoadTracker(scheduler);
		CatalogHolder catalogs = new CatalogHolder();
		catalogs.offer(catalog());
		PlacementPolicy placement = this::place;
		GatewayPorts ports = new GatewayPorts(scheduler, new DataCentre("east"), this::send, placement,
				new EndpointNotices(backends, health), health, EndpointPaths.INTACT, loads,
				new DemandTracker(scheduler),
				new ContentionQueues(scheduler, new ContentionMetrics(new MetricRegistry())),
				new RetryBudget(scheduler, Duration.ofSeconds(10), 5, () -> 100), EndpointRules.NONE,
				EndpointLimits.NONE, CrashGuard.NONE,
				new MemoryHolds(scheduler, null, (engine) -> false, (engine) -> true, "test", DecisionLog.NONE),
				new HeldBytes(1_000_000), () -> {
				}, DecisionLog.NONE, new GatewayMetrics(new MetricRegistry()));
		GatewaySettings settings = new GatewaySettings(new VmId("a"), new DataCentre("east"),
				new InetSocketAddress("127.0.0.1", 1), new InetSocketAddress("127.0.0.1", 2), List.of(), ADDRESS_KEEP,
				GRACE, Duration.ofSeconds(2), Duration.ofSeconds(10), 0.2, 100, VmCapacity.UNKNOWN,
				GatewayFeatures.NONE);
		this.leave = new LeaveSequence(scheduler, settings, this, DecisionLog.NONE);
		GatewayService service = new GatewayService(ports, catalogs, this.leave::accepts, random);
		this.callers = new CallerServer(scheduler, this.openRequests, new StartupQueue(scheduler, () -> true, service),
				new PlainDialect(), () -> LIMITS);
	}

	/** Begins the planned stop. */
	void stop() {
		this.leave.begin();
	}

	private static Catalog catalog() {
		EngineProfile engine = new EngineProfile(4, 200_000, 48, 2_048, 1.02, 0.002, 0.004, 206, 0.138);
		return Catalog.builder(1)
			.service(new Service(RANKED, 9, Optional.of(engine)))
			.service(new Service(UNRANKED, 9, Optional.of(engine)))
			.route(route("urgent", RANKED).streaming(true).resumable(true).maxAttempts(2).build())
			.route(route("patient", RANKED).streaming(true)
				.resumable(true)
				.maxAttempts(2)
				.priority(2)
				.longestPause(Duration.ofMillis(250))
				.build())
			.route(route("stream", UNRANKED).streaming(true).resumable(true).maxAttempts(2).build())
			.route(route("book", YARD).build())
			.route(route("log", YARD).idempotent(true).maxAttempts(2).build())
			.build();
	}

	private static Route.Builder route(String name, ServiceName service) {
		return Route.builder(name, "hire.example", "/" + name + "/")
			.service(service.value())
			.timeout(Duration.ofSeconds(15))
			.targetLatency(Duration.ofMillis(800));
	}

	private Placement place(PlacementRequest request) {
		return this.endpoints.get(request.service().name())
			.stream()
			.filter((endpoint) -> !request.tried().contains(endpoint.start()))
			.filter((endpoint) -> this.busy.getOrDefault(endpoint.start(), 0) < this.slots)
			.findFirst()
			.map((endpoint) -> Placement.at(endpoint, List.of(), 1, 1, "free"))
			.orElse(Placement.waiting(1, "no slot is free"));
	}

	private BackendClient.BackendExchange send(Backend to, OutgoingRequest request, BackendListener listener) {
		SimulatedRun run = this.runs.get();
		this.onReceived.accept(request.original().id(), run);
		this.busy.merge(to.start(), 1, Integer::sum);
		return run.begin(this.scheduler, request, listener, () -> this.busy.merge(to.start(), -1, Integer::sum));
	}

	@Override
	public void announce() {
		this.callers.leave();
	}

	@Override
	public int openRequestCount() {
		return this.openRequests.count();
	}

	@Override
	public int connections() {
		return this.callers.connections();
	}

	@Override
	public void daemonStops(Duration untilExit) {
		this.openRequests.daemonStops(untilExit);
	}

	@Override
	public void daemonExits() {
		this.openRequests.daemonExits();
	}

	@Override
	public void end() {
		this.exited = true;
		this.callers.closeIdle();
	}

}
