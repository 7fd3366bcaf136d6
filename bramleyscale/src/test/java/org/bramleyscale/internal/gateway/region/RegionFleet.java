package org.bramleyscale.internal.gateway.region;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Region;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointNotice;
import org.bramleyscale.internal.gateway.backend.EndpointNotices;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.AllowedRegions;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.contention.ContentionMetrics;
import org.bramleyscale.internal.gateway.contention.ContentionQueues;
import org.bramleyscale.internal.gateway.crash.CrashGuard;
import org.bramleyscale.internal.gateway.eligibility.EndpointRules;
import org.bramleyscale.internal.gateway.eligibility.RequestedBackoff;
import org.bramleyscale.internal.gateway.hold.EngineOrders;
import org.bramleyscale.internal.gateway.hold.MemoryHolds;
import org.bramleyscale.internal.gateway.limit.EndpointLimits;
import org.bramleyscale.internal.gateway.load.DemandTracker;
import org.bramleyscale.internal.gateway.load.LoadTracker;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.placement.EnginePlacement;
import org.bramleyscale.internal.gateway.placement.PlacementPolicy;
import org.bramleyscale.internal.gateway.placement.PlainPlacement;
import org.bramleyscale.internal.gateway.reachability.EndpointPaths;
import org.bramleyscale.internal.gateway.request.BackendClient;
import org.bramleyscale.internal.gateway.request.BackendHead;
import org.bramleyscale.internal.gateway.request.BackendListener;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.ExchangeTrace;
import org.bramleyscale.internal.gateway.request.GatewayMetrics;
import org.bramleyscale.internal.gateway.request.GatewayPorts;
import org.bramleyscale.internal.gateway.request.GatewayService;
import org.bramleyscale.internal.gateway.request.HeldBytes;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;
import org.bramleyscale.internal.gateway.retry.RetryBudget;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * A daemon that runs the production classes of the gateway in front of simulated
 * endpoints in three regions, on a manual clock. Endpoints answer, refuse, fail in the
 * middle of a stream and stay silent by chance.
 *
 * <p>
 * Records every endpoint to which a request, a part of its prompt or an order for memory
 * went although the request may not run there. Confined to the test's thread.
 */
final class RegionFleet {

	static final String HOST = "hire.example";

	static final RegionMap REGIONS = new RegionMap(
			Map.of(new DataCentre("east"), new Region("eu"), new DataCentre("mid"), new Region("eu"),
					new DataCentre("west"), new Region("us"), new DataCentre("far"), new Region("ap")));

	private static final List<String> DATA_CENTRES = List.of("east", "mid", "west", "far", "unmapped");

	private static final Duration LATENCY = Duration.ofMillis(2);

	private static final EngineProfile PROFILE = new EngineProfile(8, 197_200, 48, 2_048, 1.02, 0.00226, 0.00431, 206,
			0.138);

	final ManualScheduler scheduler = new ManualScheduler();

	final CatalogHolder catalogs = new CatalogHolder();

	/** What was sent where it must not be, one text each. */
	final List<String> violations = new ArrayList<>();

	/**
	 * The number of requests, parts of prompts and orders sent for restricted requests.
	 */
	int restrictedSends;

	int restrictedHelpers;

	int restrictedOrders;

	int resumed;

	private final Random random;

	private final BackendTable backends = new BackendTable(this.scheduler, DecisionLog.NONE);

	private final List<Backend> running = new ArrayList<>();

	private final Map<String, AllowedRegions> allowedById = new HashMap<>();

	private final Map<String, List<Backend>> ordersByHold = new HashMap<>();

	private final GatewayService service;

	private int started;

	private int requests;

	RegionFleet(long seed) {
		this.random = new Random(seed);
		BackendHealth health = new BackendHealth(this.scheduler, DecisionLog.NONE);
		LoadTracker loads = new LoadTracker(this.scheduler);
		DemandTracker demands = new DemandTracker(this.scheduler);
		PlacementPolicy plain = new PlainPlacement(this.backends, health, loads, this.random);
		PlacementPolicy engines = new EnginePlacement(this.backends, health, loads, demands, this.random);
		DecisionLog log = this::logged;
		GatewayPorts ports = new GatewayPorts(this.scheduler, new DataCentre("east"), this::send,
				(request) -> (request.service().engine().isPresent() ? engines : plain).place(request),
				new EndpointNotices(this.backends, health), health, EndpointPaths.INTACT, loads, demands,
				new ContentionQueues(this.scheduler, new ContentionMetrics(new MetricRegistry())),
				new RetryBudget(this.scheduler, Duration.ofSeconds(10), 0.5, () -> 100),
				EndpointRules.builder()
					.rule(new RequestedBackoff(health))
					.rule(new AllowedRegionRule(REGIONS,
							() -> this.catalogs.current().filter(Catalog::regionsRestricted).isPresent()))
					.build(),
				EndpointLimits.NONE, CrashGuard.NONE,
				new MemoryHolds(this.scheduler, new Orders(), this.backends::hasRestarted, (engine) -> true, "d", log),
				new HeldBytes(1_000_000), () -> {
				}, log, new GatewayMetrics(new MetricRegistry()));
		this.service = new GatewayService(ports, this.catalogs, (left) -> true, this.random);
		for (int i = 0; i < 18 + this.random.nextInt(18); i++) {
			startEndpoint("e" + i, (i % 4 == 0) ? "plain" : "engines");
		}
	}

	/**
	 * Puts a document into force with one stream and one plain route for each
	 * restriction, all of the same host, and an account for each restriction.
	 * @param version its version
	 * @param restrictions the allowed regions
	 */
	void configure(long version, List<AllowedRegions> restrictions) {
		Catalog.Builder catalog = Catalog.builder(version)
			.service(new Service(new ServiceName("engines"), 100, Optional.of(PROFILE)))
			.service(new Service(new ServiceName("plain"), 100, Optional.empty()));
		for (int i = 0; i < restrictions.size(); i++) {
			AllowedRegions allowed = restrictions.get(i);
			catalog.account(new Account(new ClientAccountId("a" + i), OptionalInt.empty(), allowed),
					List.of("key" + i));
			catalog.route(route("stream" + i, "engines").streaming(true)
				.resumable(true)
				.longestPause(Duration.ofMillis(250))
				.callerTimeout(Duration.ofSeconds(8))
				.allowedRegions(allowed)
				.build());
			catalog.route(route("log" + i, "plain").idempotent(true).allowedRegions(allowed).build());
			catalog.route(route("book" + i, "plain").allowedRegions(allowed).build());
		}
		this.catalogs.offer(catalog.build());
	}

	private static Route.Builder route(String name, String service) {
		return Route.builder(name, HOST, "/" + name + "/")
			.service(service)
			.timeout(Duration.ofSeconds(12))
			.targetLatency(Duration.ofMillis(600))
			.maxAttempts(3);
	}

	/**
	 * Sends a request by a caller with a key.
	 * @param route the route's name
	 * @param account the number of the account
	 * @param promptTokens the length of its prompt
	 * @return the caller
	 */
	RecordingCaller call(String route, int account, long promptTokens) {
		String id = "r" + ++this.requests;
		Catalog catalog = this.catalogs.current().orElseThrow();
		String path = "/" + route + "/1";
		this.allowedById.put(id,
				catalog.route(HOST, path)
					.orElseThrow()
					.allowedRegions()
					.and(catalog.account("key" + account).orElseThrow().allowedRegions()));
		RecordingCaller caller = new RecordingCaller();
		this.service
			.handle(new CallerRequest(id, "POST", path, HOST, List.of(), new byte[0], Optional.of("key" + account),
					Optional.of(Duration.ofSeconds(12)), promptTokens, 200, Optional.empty(), List.of()), caller);
		return caller;
	}

	/**
	 * Changes the state of one endpoint: it crashes, drains, or returns, possibly in
	 * another data centre.
	 */
	void disturb() {
		Backend chosen = this.running.get(this.random.nextInt(this.running.size()));
		switch (this.random.nextInt(4)) {
			case 0 -> this.backends.remove(chosen.id(), BackendTable.LAPSE_GRACE_PERIOD);
			case 1 -> this.backends.put(new Backend(chosen.start(), chosen.service(), chosen.address(),
					chosen.dataCentre(), chosen.slots(), true));
			default -> {
				this.running.remove(chosen);
				startEndpoint(chosen.id().value(), chosen.service().value());
			}
		}
	}

	private void startEndpoint(String id, String service) {
		DataCentre dataCentre = new DataCentre(DATA_CENTRES.get(this.random.nextInt(DATA_CENTRES.size())));
		Backend endpoint = new Backend(new EndpointStart(new EndpointId(id), ++this.started), new ServiceName(service),
				HostAndPort.fromParts("10.0." + this.started / 200 + "." + this.started % 200, 80), dataCentre, 8,
				false);
		this.running.add(endpoint);
		this.backends.put(endpoint);
	}

	private void check(String id, Backend endpoint, String what) {
		AllowedRegions allowed = this.allowedById.get(id);
		if (!allowed.allows(REGIONS.of(endpoint.dataCentre()))) {
			this.violations.add(what + " of " + id + ", allowed in " + allowed + ", in " + endpoint.dataCentre());
		}
	}

	private boolean restricted(String id) {
		return this.allowedById.get(id).restricted();
	}

	private BackendClient.BackendExchange send(Backend to, OutgoingRequest request, BackendListener listener) {
		String id = request.original().id();
		check(id, to, "request");
		request.helpers().forEach((helper) -> check(id, helper.engine(), "part"));
		this.restrictedSends += restricted(id) ? 1 : 0;
		this.restrictedHelpers += restricted(id) ? request.helpers().size() : 0;
		this.resumed += request.lastEventId().isPresent() ? 1 : 0;
		Exchange exchange = new Exchange(listener, this.running.contains(to), to.service().value().equals("engines"),
				request.lastEventId().map(Integer::parseInt).orElse(0));
		this.scheduler.schedule(LATENCY, exchange::begin);
		return exchange;
	}

	/**
	 * Checks the orders of a group of holds once its request is known from the log.
	 * @param kind the kind of line
	 * @param subject its subject
	 * @param fields its fields
	 */
	private void logged(String kind, Object[] subject, Object[] fields) {
		if (subject.length > 3 && subject[3].toString().startsWith("memory ")) {
			for (Backend engine : this.ordersByHold.getOrDefault(fields[1].toString(), List.of())) {
				check(subject[1].toString(), engine, "order");
				this.restrictedOrders += restricted(subject[1].toString()) ? 1 : 0;
			}
		}
	}

	/**
	 * Engines that hold memory or refuse to by chance.
	 */
	private final class Orders implements EngineOrders {

		@Override
		public CompletableFuture<Boolean> reserve(Backend engine, String id, long tokens, Duration duration) {
			RegionFleet.this.ordersByHold.computeIfAbsent(id, (key) -> new ArrayList<>()).add(engine);
			return CompletableFuture.completedFuture(RegionFleet.this.random.nextInt(5) != 0);
		}

		@Override
		public void onNotice(NoticeListener listener) {
			// These engines report nothing about themselves.
		}

		@Override
		public CompletableFuture<Void> release(Backend engine, String id) {
			return CompletableFuture.completedFuture(null);
		}

	}

	/**
	 * A request at an endpoint. Confined to the test's thread.
	 */
	private final class Exchange implements BackendClient.BackendExchange {

		private static final int EVENTS = 6;

		private final BackendListener listener;

		private final boolean reachable;

		private final boolean stream;

		private int event;

		private boolean cancelled;

		private Exchange(BackendListener listener, boolean reachable, boolean stream, int lastEvent) {
			this.listener = listener;
			this.reachable = reachable;
			this.stream = stream;
			this.event = lastEvent;
		}

		private void begin() {
			int chance = RegionFleet.this.random.nextInt(12);
			if (this.cancelled || chance == 0) {
				return;
			}
			if (!this.reachable || chance == 1) {
				this.listener.failed(false, "connection refused");
			}
			else if (chance == 2) {
				Optional<Duration> backoff = RegionFleet.this.random.nextBoolean() ? Optional.empty()
						: Optional.of(Duration.ofMillis(700));
				respond(503, true, new EndpointNotice(false, backoff, OptionalDouble.empty()));
			}
			else if (chance == 3) {
				this.listener.failed(true, "connection reset");
			}
			else if (this.stream) {
				this.listener.head(head(200, false, EndpointNotice.NONE));
				next();
			}
			else {
				respond(200, false, EndpointNotice.NONE);
			}
		}

		private void next() {
			if (this.cancelled) {
				return;
			}
			if (this.event >= EVENTS) {
				this.listener.complete();
			}
			else if (RegionFleet.this.random.nextInt(15) == 0) {
				this.listener.failed(true, "connection reset");
			}
			else {
				this.event++;
				this.listener.data(("id: " + this.event + "\ndata: x\n\n").getBytes());
				RegionFleet.this.scheduler.schedule(Duration.ofMillis(40), this::next);
			}
		}

		private void respond(int status, boolean notRun, EndpointNotice notice) {
			this.listener.head(head(status, notRun, notice));
			this.listener.complete();
		}

		private BackendHead head(int status, boolean notRun, EndpointNotice notice) {
			return new BackendHead(status, List.of(), notRun, !notRun, this.stream && !notRun, notice,
					Optional.empty());
		}

		@Override
		public void cancel() {
			this.cancelled = true;
		}

		@Override
		public void skipRest() {
			cancel();
		}

		@Override
		public ExchangeTrace trace() {
			return ExchangeTrace.NOT_SENT;
		}

		@Override
		public void setReading(boolean on) {
			// Events are few, so there is nothing to pause.
		}

	}

}
