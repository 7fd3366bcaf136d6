package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointNotice;
import org.bramleyscale.internal.gateway.backend.EndpointNotices;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.contention.ContentionMetrics;
import org.bramleyscale.internal.gateway.contention.ContentionQueues;
import org.bramleyscale.internal.gateway.eligibility.EndpointRule;
import org.bramleyscale.internal.gateway.eligibility.EndpointRules;
import org.bramleyscale.internal.gateway.eligibility.RequestScope;
import org.bramleyscale.internal.gateway.eligibility.RequestedBackoff;
import org.bramleyscale.internal.gateway.hold.MemoryHolds;
import org.bramleyscale.internal.gateway.hold.PendingOrders;
import org.bramleyscale.internal.gateway.limit.EndpointLimits;
import org.bramleyscale.internal.gateway.load.DemandTracker;
import org.bramleyscale.internal.gateway.load.LoadTracker;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.bramleyscale.internal.gateway.placement.PlacementPolicy;
import org.bramleyscale.internal.gateway.placement.PlacementRequest;
import org.bramleyscale.internal.gateway.placement.PlainPlacement;
import org.bramleyscale.internal.gateway.reachability.EndpointPaths;
import org.bramleyscale.internal.gateway.retry.RetryBudget;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * A gateway whose endpoints respond as the test says, and a caller that records its
 * response.
 */
final class RelayFixture {

	/** Allows three retries in ten seconds, since six tenths of the constant are used. */
	static final int RETRY_CONSTANT = 3;

	static final int HELD_LIMIT = 10_000;

	static final ServiceName SERVICE = new ServiceName("yard");

	final ManualScheduler scheduler = new ManualScheduler();

	private final RetryBudget retryBudget = startedEarlier(this.scheduler);

	final List<SentRequest> sent = new ArrayList<>();

	final BackendTable backends = new BackendTable(this.scheduler, DecisionLog.NONE);

	final BackendHealth health = new BackendHealth(this.scheduler, DecisionLog.NONE);

	final LoadTracker loads = new LoadTracker(this.scheduler);

	final DemandTracker demands = new DemandTracker(this.scheduler);

	/** Placements that the next requests get instead of one from the plain policy. */
	final Deque<Placement> scriptedPlacements = new ArrayDeque<>();

	final PendingOrders orders = new PendingOrders();

	/** Small, so that a test reaches the limit. */
	final HeldBytes heldBytes = new HeldBytes(HELD_LIMIT);

	final RecordingCrashGuard crashGuard = new RecordingCrashGuard();

	/** The ids of endpoints in evacuated data centres. */
	final Set<String> evacuated = new HashSet<>();

	/** Whether the fixture's daemon has lost the path to all endpoints. */
	boolean pathLost;

	private final EndpointPaths paths = new LostPath();

	final RecordingQuota quota = new RecordingQuota();

	PlacementRequest lastPlacementRequest;

	Duration maxTimeLeft = Duration.ofDays(1);

	final CatalogHolder catalogs = new CatalogHolder();

	private final MetricRegistry metrics = new MetricRegistry();

	final GatewayService service;

	/**
	 * Creates the budget of a daemon that started more than a window ago.
	 * @param scheduler the daemon's scheduler, which is advanced
	 * @return the budget
	 */
	private static RetryBudget startedEarlier(ManualScheduler scheduler) {
		Duration window = Duration.ofSeconds(10);
		RetryBudget budget = new RetryBudget(scheduler, window, 0, () -> RETRY_CONSTANT);
		scheduler.advance(window.multipliedBy(2));
		return budget;
	}

	RelayFixture() {
		for (String id : List.of("a", "b", "c")) {
			this.backends.put(new Backend(EndpointStart.withUnknownStart(id), SERVICE,
					HostAndPort.fromParts("10.0.0.1", 80), new DataCentre("east"), 4, false));
		}
		Random random = new Random(1);
		GatewayPorts ports = new GatewayPorts(this.scheduler, new DataCentre("east"), this::send,
				scriptedOr(new PlainPlacement(this.backends, this.health, this.loads, random)),
				new EndpointNotices(this.backends, this.health), this.health, this.paths, this.loads, this.demands,
				new ContentionQueues(this.scheduler, new ContentionMetrics(new MetricRegistry())), this.retryBudget,
				EndpointRules.builder()
					.rule(new RequestedBackoff(this.health))
					.rule(new Evacuation())
					.quota(this.quota)
					.build(),
				EndpointLimits.NONE, this.crashGuard, new MemoryHolds(this.scheduler, this.orders,
						this.backends::hasRestarted, (engine) -> true, "entry-1", DecisionLog.NONE),
				this.heldBytes, () -> {
				}, DecisionLog.NONE, new GatewayMetrics(this.metrics));
		this.service = new GatewayService(ports, this.catalogs, (timeLeft) -> timeLeft.compareTo(this.maxTimeLeft) <= 0,
				random);
		this.catalogs.offer(Catalog.builder(1)
			.account(new Account(new ClientAccountId("hule"), OptionalInt.empty()), List.of("key"))
			.route(route("stream", "/stream/").streaming(true)
				.resumable(true)
				.maxAttempts(2)
				.longestPause(Duration.ofMillis(250))
				.callerTimeout(Duration.ofSeconds(2))
				.build())
			.route(route("any-pause", "/any-pause/").streaming(true).callerTimeout(Duration.ofSeconds(2)).build())
			.route(route("book", "/book/").build())
			.route(route("log", "/log/").idempotent(true).maxAttempts(2).build())
			.build());
	}

	Backend engine(String id) {
		return this.backends.usable(SERVICE)
			.stream()
			.filter((backend) -> backend.id().value().equals(id))
			.findFirst()
			.orElseThrow();
	}

	private PlacementPolicy scriptedOr(PlacementPolicy plain) {
		return (request) -> {
			this.lastPlacementRequest = request;
			return this.scriptedPlacements.isEmpty() ? plain.place(request) : this.scriptedPlacements.poll();
		};
	}

	RecordingCaller call(String path) {
		return call(path, Duration.ofSeconds(10));
	}

	/**
	 * Replaces the document by one whose service has engines.
	 * @param version its version
	 * @param otherPriority the priority of a second route to the service; that of the
	 * first is 0
	 */
	void offerEngines(long version, int otherPriority) {
		this.catalogs.offer(Catalog.builder(version)
			.service(new Service(SERVICE, 9,
					Optional.of(new EngineProfile(4, 200_000, 48, 2_048, 1.02, 0.002, 0.004, 206, 0.138))))
			.route(route("stream", "/stream/").streaming(true).callerTimeout(Duration.ofSeconds(2)).build())
			.route(route("other", "/other/").streaming(true)
				.longestPause(Duration.ofMillis(250))
				.priority(otherPriority)
				.build())
			.build());
	}

	RecordingCaller call(String path, Duration left) {
		return call(path, left, 0, 0);
	}

	RecordingCaller call(String path, Duration left, long promptTokens, long outputTokens) {
		RecordingCaller caller = new RecordingCaller();
		CallerRequest request = new CallerRequest("r1", "POST", path, "hire.example", List.of(), new byte[0],
				Optional.of("key"), Optional.of(left), promptTokens, outputTokens, Optional.empty(), List.of());
		caller.request = this.service.handle(request, caller);
		return caller;
	}

	/**
	 * Returns how many requests have ended.
	 * @return the number, which counts a request that ended twice twice
	 */
	long endedRequests() {
		return this.metrics.getCounters((name, metric) -> name.startsWith("gateway.requests."))
			.values()
			.stream()
			.mapToLong(Counter::getCount)
			.sum();
	}

	SentRequest last() {
		return this.sent.get(this.sent.size() - 1);
	}

	private SentRequest send(Backend to, OutgoingRequest request, BackendListener listener) {
		SentRequest exchange = new SentRequest(to, request, listener);
		this.sent.add(exchange);
		return exchange;
	}

	private static Route.Builder route(String name, String prefix) {
		return Route.builder(name, "hire.example", prefix)
			.service(SERVICE.value())
			.timeout(Duration.ofSeconds(10))
			.targetLatency(Duration.ofMillis(300));
	}

	static BackendHead head(int status, boolean notRun, boolean genuine, boolean events) {
		return new BackendHead(status, List.of(new Header("signature", "s" + status)), notRun, genuine, events,
				EndpointNotice.NONE, Optional.empty());
	}

	/**
	 * A path to all endpoints that the test may break.
	 */
	private final class LostPath implements EndpointPaths {

		@Override
		public boolean lost(ServiceName service) {
			return RelayFixture.this.pathLost;
		}

		@Override
		public Duration retryAfter() {
			return Duration.ofMillis(10);
		}

		@Override
		public void answered(Backend endpoint) {
			// The test alone breaks and repairs the path.
		}

	}

	/**
	 * Withdraws the endpoints that the test evacuates.
	 */
	private final class Evacuation implements EndpointRule {

		@Override
		public Duration blockedFor(Backend endpoint, RequestScope scope) {
			return withdraws(endpoint) ? Duration.ofSeconds(1) : Duration.ZERO;
		}

		@Override
		public boolean withdraws(Backend endpoint) {
			return RelayFixture.this.evacuated.contains(endpoint.id().value());
		}

		@Override
		public boolean leavesLanes(Backend endpoint) {
			return withdraws(endpoint);
		}

		@Override
		public String reason() {
			return "evacuated";
		}

	}

}
