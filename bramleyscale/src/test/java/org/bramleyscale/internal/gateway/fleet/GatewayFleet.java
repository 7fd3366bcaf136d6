package org.bramleyscale.internal.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import com.google.common.net.HostAndPort;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.address.RendezvousHash;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendHealth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Account;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.CatalogHolder;
import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.gateway.crash.EndpointCheck;
import org.bramleyscale.internal.gateway.crash.FleetCrashGuard;
import org.bramleyscale.internal.gateway.follow.NewsRoutes;
import org.bramleyscale.internal.gateway.hold.MemoryHolds;
import org.bramleyscale.internal.gateway.hold.NoOrders;
import org.bramleyscale.internal.gateway.limit.FleetLimits;
import org.bramleyscale.internal.gateway.load.DemandBoard;
import org.bramleyscale.internal.gateway.load.LoadBoard;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.gateway.placement.PlainPlacement;
import org.bramleyscale.internal.gateway.request.BackendClient;
import org.bramleyscale.internal.gateway.request.BackendHead;
import org.bramleyscale.internal.gateway.request.BackendListener;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.request.GatewayMetrics;
import org.bramleyscale.internal.gateway.request.GatewayPorts;
import org.bramleyscale.internal.gateway.request.GatewayService;
import org.bramleyscale.internal.gateway.request.OutgoingRequest;
import org.bramleyscale.internal.gateway.retry.RetryWindow;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * Daemons in front of the same endpoints, some of which end, on a manual clock.
 *
 * <p>
 * An endpoint that ends closes its connections and refuses new ones; after {@link #DOWN}
 * another one listens at its address and turns its requests away, and {@link #LISTED}
 * after its end its entry is off the list. Confined to the test's thread.
 */
public final class GatewayFleet {

	static final Duration DOWN = Duration.ofSeconds(2);

	static final Duration LISTED = Duration.ofMillis(2_700);

	/** Crashes after which a request is known to be deadly. */
	public static final int KNOWN = 3;

	/** A daemon is in touch if it has run and heard the store for so long. */
	public static final Duration CONTACT = Duration.ofSeconds(3);

	/** A daemon knows of a limit so long after it passed on an answer that names it. */
	private static final Duration TOLD = Duration.ofMillis(500);

	private static final RendezvousHash<VmId> HASH = new RendezvousHash<>(VmId::value);

	private static final ServiceName SERVICE = new ServiceName("quotes");

	private static final DataCentre DATA_CENTRE = new DataCentre("east");

	private static final Duration TRAVEL = Duration.ofMillis(1);

	/** How long an endpoint works on a request that ends well. */
	private static final Duration WORK = Duration.ofMillis(200);

	/** How long an endpoint works on a request until that ends it. */
	private static final Duration UNTIL_CRASH = Duration.ofMillis(90);

	/** How long news between daemons take, also in a large fleet. */
	private static final Duration NEWS = Duration.ofMillis(60);

	private static final Duration REFUSAL = Duration.ofMillis(2);

	private static final int SLOTS = 11;

	public final ManualScheduler scheduler = new ManualScheduler();

	public final List<Daemon> daemons = new ArrayList<>();

	final List<Arrival> arrivals = new ArrayList<>();

	public final RecordStore store = new RecordStore(this.scheduler);

	private final Map<EndpointStart, Endpoint> endpoints = new HashMap<>();

	private final Random random;

	private double lost;

	private int started;

	private int requests;

	/**
	 * Starts a fleet.
	 * @param size how many daemons
	 * @param endpoints how many endpoints
	 * @param seed for all that is drawn
	 */
	public GatewayFleet(int size, int endpoints, long seed) {
		this.random = new Random(seed);
		for (int i = 0; i < size; i++) {
			this.daemons.add(new Daemon(i));
		}
		this.store.follow((object) -> this.daemons.forEach((daemon) -> daemon.crashes.recordChanged(object)));
		for (int i = 0; i < endpoints; i++) {
			startEndpoint();
		}
	}

	/**
	 * Sends a request to a daemon.
	 * @param daemon the daemon's place
	 * @param text the request's body; one that contains {@link Endpoint#DEADLY} ends each
	 * endpoint that runs it
	 * @return what becomes of it
	 */
	public PlayedCaller call(int daemon, String text) {
		PlayedCaller caller = new PlayedCaller();
		CallerRequest request = new CallerRequest("r" + ++this.requests, "POST", "/log/1", "hire.example", List.of(),
				text.getBytes(), Optional.of("key"), Optional.of(Duration.ofSeconds(10)), 0, 0, Optional.empty());
		this.daemons.get(daemon).service.take(request, caller);
		return caller;
	}

	public PlayedCaller call(String text) {
		return call(this.random.nextInt(this.daemons.size()), text);
	}

	/**
	 * Sets how many of the messages between daemons get lost.
	 * @param share the share of them
	 */
	public void loses(double share) {
		this.lost = share;
	}

	/**
	 * Has an endpoint name a limit in its answers from now on, or none any more.
	 * @param place the endpoint's place among those that live
	 * @param perSecond requests a second from all daemons together; empty for no limit
	 * @return the endpoint
	 */
	public Endpoint limit(int place, OptionalDouble perSecond) {
		Endpoint endpoint = this.endpoints.values()
			.stream()
			.filter((each) -> each.alive)
			.sorted(Comparator.comparing((each) -> each.backend.id().value()))
			.skip(place)
			.findFirst()
			.orElseThrow();
		if (endpoint.limit.isEmpty() && perSecond.isPresent()) {
			endpoint.namedAt = this.scheduler.nanos();
			endpoint.told.clear();
		}
		endpoint.limit = perSecond;
		return endpoint;
	}

	/**
	 * Starts all daemons anew, with nothing in memory, a moment after they were killed.
	 */
	public void restartAll() {
		for (int i = 0; i < this.daemons.size(); i++) {
			restart(i);
		}
	}

	public void restart(int place) {
		this.daemons.get(place).killed = true;
		Daemon fresh = new Daemon(place);
		this.daemons.set(place, fresh);
		this.store.all().forEach(fresh.crashes::recordChanged);
		this.endpoints.values().stream().filter((endpoint) -> endpoint.alive).forEach(fresh::lists);
	}

	/**
	 * Ends the endpoints on which a request runs, for another reason than the request.
	 * @param text the request's body
	 * @return whether there was one
	 */
	public boolean endWhatRuns(String text) {
		List<Endpoint> running = this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.running.stream().anyMatch((sent) -> sent.text().equals(text)))
			.toList();
		running.forEach(Endpoint::end);
		return !running.isEmpty();
	}

	/**
	 * Ends one of the endpoints on which a request runs.
	 * @param text the request's body
	 */
	public void endOneOf(String text) {
		this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.running.stream().anyMatch((sent) -> sent.text().equals(text)))
			.min(Comparator.comparing((endpoint) -> endpoint.backend.id().value()))
			.ifPresent(Endpoint::end);
	}

	/**
	 * Resets the connections on which a request runs; its endpoint lives.
	 * @param text the request's body
	 */
	public void resetWhatRuns(String text) {
		for (Endpoint endpoint : this.endpoints.values()) {
			endpoint.running.stream()
				.filter((sent) -> sent.text().equals(text))
				.toList()
				.forEach((sent) -> sent.listener.failed(true, "reset"));
			endpoint.running.removeIf((sent) -> sent.text().equals(text));
		}
	}

	/**
	 * When a request arrived at endpoints.
	 * @param text its body
	 * @return the times, in ms
	 */
	public List<Long> arrivals(String text) {
		return this.arrivals.stream().filter((arrival) -> arrival.text.equals(text)).map(Arrival::millis).toList();
	}

	/**
	 * How often a request arrived at endpoints later than all daemons must know that it
	 * ends them, from daemons in touch: those that ran, and heard the store, for
	 * {@link #CONTACT}.
	 * @param text its body
	 * @return how often
	 */
	public int arrivedTooLate(String text) {
		List<Long> all = arrivals(text);
		if (all.size() < KNOWN) {
			return 0;
		}
		long known = all.get(KNOWN - 1) + CONTACT.toMillis();
		return (int) this.arrivals.stream()
			.filter((arrival) -> arrival.text.equals(text) && arrival.inTouch && arrival.millis > known)
			.count();
	}

	public int ended() {
		return (int) this.endpoints.values().stream().filter((endpoint) -> !endpoint.alive).count();
	}

	private void startEndpoint() {
		Endpoint endpoint = new Endpoint(new Backend(EndpointStart.untold("e" + ++this.started), SERVICE,
				HostAndPort.fromParts("10.0.0." + this.started % 200, 80), DATA_CENTRE, SLOTS, false));
		this.endpoints.put(endpoint.backend.start(), endpoint);
		this.daemons.forEach((daemon) -> daemon.lists(endpoint));
	}

	/**
	 * A request that reached an endpoint.
	 *
	 * @param text its body
	 * @param millis when
	 * @param inTouch whether it came from a daemon in touch
	 */
	public record Arrival(String text, long millis, boolean inTouch) {
	}

	/**
	 * One start of an endpoint.
	 */
	public final class Endpoint {

		public static final String DEADLY = "deadly";

		private final Backend backend;

		private final List<Sent> running = new ArrayList<>();

		private final List<Long> countedNanos = new ArrayList<>();

		private final List<Long> arrivedNanos = new ArrayList<>();

		private final Map<Daemon, Long> told = new HashMap<>();

		private OptionalDouble limit = OptionalDouble.empty();

		private long namedAt;

		private long endedAt;

		private boolean alive = true;

		private Endpoint(Backend backend) {
			this.backend = backend;
		}

		/**
		 * The most requests in any span from daemons that had passed on an answer with a
		 * limit {@link GatewayFleet#TOLD} before.
		 * @param from the span begins then at the earliest, ms
		 * @param to the span begins before this, ms
		 * @param span its length
		 * @return the number
		 */
		public int most(long from, long to, Duration span) {
			int most = 0;
			for (int first = 0; first < this.countedNanos.size(); first++) {
				long begin = this.countedNanos.get(first);
				if (begin >= from * 1_000_000 && begin < to * 1_000_000) {
					int last = first;
					while (last < this.countedNanos.size() && this.countedNanos.get(last) - begin < span.toNanos()) {
						last++;
					}
					most = Math.max(most, last - first);
				}
			}
			return most;
		}

		/**
		 * How many requests arrived.
		 * @param from from then on, ms
		 * @param to before this, ms
		 * @return the number
		 */
		public long arrived(long from, long to) {
			return this.arrivedNanos.stream()
				.filter((nanos) -> nanos >= from * 1_000_000 && nanos < to * 1_000_000)
				.count();
		}

		private void count(Daemon from) {
			long now = GatewayFleet.this.scheduler.nanos();
			this.arrivedNanos.add(now);
			boolean named = this.limit.isPresent() && now - this.namedAt > CONTACT.toNanos();
			if (named && this.told.containsKey(from) && now - this.told.get(from) >= TOLD.toNanos()) {
				this.countedNanos.add(now);
			}
		}

		private void arrives(Sent sent) {
			if (!this.alive) {
				GatewayFleet.this.scheduler.schedule(REFUSAL,
						refuses() ? () -> sent.fails(false, "connect: Connection refused") : sent::isMisdirected);
				return;
			}
			GatewayFleet.this.arrivals
				.add(new Arrival(sent.text(), GatewayFleet.this.scheduler.nanos() / 1_000_000, sent.from.inTouch()));
			count(sent.from);
			this.running.add(sent);
			if (sent.text().contains(DEADLY)) {
				GatewayFleet.this.scheduler.schedule(UNTIL_CRASH, () -> {
					if (this.running.contains(sent)) {
						end();
					}
				});
			}
			else {
				GatewayFleet.this.scheduler.schedule(WORK, () -> {
					if (this.running.remove(sent)) {
						sent.answers();
					}
				});
			}
		}

		private boolean refuses() {
			return !this.alive && GatewayFleet.this.scheduler.nanos() - this.endedAt < DOWN.toNanos();
		}

		private void end() {
			if (!this.alive) {
				return;
			}
			this.alive = false;
			this.endedAt = GatewayFleet.this.scheduler.nanos();
			List<Sent> fallen = List.copyOf(this.running);
			this.running.clear();
			fallen.forEach((sent) -> sent.fails(true, "connection closed by the endpoint"));
			GatewayFleet.this.scheduler.schedule(DOWN, GatewayFleet.this::startEndpoint);
			GatewayFleet.this.scheduler.schedule(LISTED,
					() -> GatewayFleet.this.daemons.forEach((daemon) -> daemon.offList(this.backend)));
		}

	}

	/**
	 * A request that a daemon sent to an endpoint.
	 */
	private final class Sent implements BackendClient.BackendExchange {

		private final Daemon from;

		private final Endpoint to;

		private final OutgoingRequest request;

		private final BackendListener listener;

		private boolean cancelled;

		private Sent(Daemon from, Endpoint to, OutgoingRequest request, BackendListener listener) {
			this.from = from;
			this.to = to;
			this.request = request;
			this.listener = listener;
		}

		private String text() {
			return new String(this.request.original().body());
		}

		private void fails(boolean sent, String cause) {
			if (!this.cancelled) {
				this.listener.failed(sent, cause);
			}
		}

		/** Another endpoint listens at the address. */
		private void isMisdirected() {
			if (!this.cancelled) {
				this.listener.head(
						new BackendHead(421, List.of(), true, false, false, OptionalDouble.empty(), Optional.empty()));
				this.listener.complete();
			}
		}

		private void answers() {
			if (!this.cancelled) {
				this.to.limit
					.ifPresent((limit) -> this.to.told.putIfAbsent(this.from, GatewayFleet.this.scheduler.nanos()));
				this.listener
					.head(new BackendHead(200, List.of(), false, true, false, this.to.limit, Optional.empty()));
				this.listener.complete();
			}
		}

		@Override
		public void cancel() {
			this.cancelled = true;
			this.to.running.remove(this);
		}

		@Override
		public void reading(boolean on) {
			// The endpoints of these tests answer at once.
		}

	}

	/**
	 * One start of a daemon.
	 */
	public final class Daemon implements PeerNetwork, NewsRoutes, EndpointCheck {

		private final VmId vm;

		private final BackendTable backends = new BackendTable(GatewayFleet.this.scheduler, DecisionLog.NONE);

		private final FleetCrashGuard crashes;

		private final FleetLimits limits;

		private final GatewayService service;

		private final Map<Class<?>, PeerListener<?>> listeners = new HashMap<>();

		private final long startedAt = GatewayFleet.this.scheduler.nanos();

		private boolean killed;

		private Daemon(int place) {
			this.vm = new VmId("d" + place);
			ManualScheduler clock = GatewayFleet.this.scheduler;
			this.crashes = new FleetCrashGuard(new FleetCrashGuard.Ports(clock, this, this, GatewayFleet.this.store,
					DecisionLog.NONE, new MetricRegistry()), this, this.backends::offers, () -> place == 0);
			this.limits = new FleetLimits(clock, this, this, this::rank, DecisionLog.NONE, new MetricRegistry());
			this.backends.onEnd(this.crashes::gone);
			BackendHealth health = new BackendHealth(clock, DecisionLog.NONE);
			LoadBoard loads = new LoadBoard(clock);
			CatalogHolder catalogs = new CatalogHolder();
			catalogs.offer(Catalog.builder(1)
				.account(new Account(new ClientAccountId("hule"), OptionalInt.empty()), List.of("key"))
				.route(Route.builder("log", "hire.example", "/log/")
					.service(SERVICE.value())
					.timeout(Duration.ofSeconds(10))
					.targetLatency(Duration.ofMillis(300))
					.idempotent(true)
					.maxAttempts(2)
					.build())
				.build());
			GatewayPorts ports = new GatewayPorts(clock, DATA_CENTRE, this::send,
					new PlainPlacement(this.backends, health, loads, GatewayFleet.this.random), health, loads,
					new DemandBoard(clock), new RetryWindow(clock, Duration.ofSeconds(10), 0.2, 100, () -> 1),
					this.limits, this.crashes,
					new MemoryHolds(clock, new NoOrders(), this.backends::startedAgain, "d" + place, DecisionLog.NONE),
					() -> {
					}, DecisionLog.NONE, new GatewayMetrics(new MetricRegistry()));
			this.service = new GatewayService(ports, catalogs, (left) -> true, GatewayFleet.this.random);
		}

		@Override
		public CompletableFuture<Boolean> refuses(Backend endpoint) {
			CompletableFuture<Boolean> result = new CompletableFuture<>();
			GatewayFleet.this.scheduler.schedule(REFUSAL,
					() -> result.complete(GatewayFleet.this.endpoints.get(endpoint.start()).refuses()));
			return result;
		}

		@Override
		public boolean send(VmId to, PeerMessage message) {
			if (GatewayFleet.this.random.nextDouble() < GatewayFleet.this.lost) {
				return true;
			}
			GatewayFleet.this.scheduler.schedule(NEWS,
					() -> GatewayFleet.this.daemons.stream()
						.filter((daemon) -> daemon.vm.equals(to) && !this.killed)
						.forEach((daemon) -> daemon.received(this, message)));
			return true;
		}

		private boolean inTouch() {
			boolean ran = GatewayFleet.this.scheduler.nanos() - this.startedAt > CONTACT.toNanos();
			return ran && GatewayFleet.this.store.stableFor(CONTACT);
		}

		@SuppressWarnings("unchecked")
		private void received(Daemon from, PeerMessage message) {
			((PeerListener<PeerMessage>) this.listeners.get(message.getClass())).received(new Incarnation(from.vm, 1),
					message);
		}

		/**
		 * Whether this daemon counts another as one that runs. While that has just
		 * started, half of the others don't.
		 * @param other the other daemon
		 * @return whether it does
		 */
		private boolean sees(Daemon other) {
			boolean fresh = GatewayFleet.this.scheduler.nanos() - other.startedAt < CONTACT.toNanos();
			boolean unaware = (this.vm.hashCode() + other.vm.hashCode()) % 2 == 0;
			return other == this || !fresh || !unaware;
		}

		/**
		 * This daemon's place among all that it knows to run.
		 * @param endpoint the endpoint
		 * @return 0 for the first
		 */
		private int rank(EndpointStart endpoint) {
			List<VmId> all = GatewayFleet.this.daemons.stream().filter(this::sees).map((daemon) -> daemon.vm).toList();
			return HASH.ranked(endpoint.toString(), all).indexOf(this.vm);
		}

		@Override
		public Set<VmId> connected() {
			Set<VmId> others = new TreeSet<>(Comparator.comparing(VmId::value));
			GatewayFleet.this.daemons.stream()
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
		public Collection<VmId> firstHand() {
			return connected();
		}

		@Override
		public Collection<VmId> passedOn(VmId from) {
			return List.of();
		}

		private void lists(Endpoint endpoint) {
			this.backends.put(endpoint.backend);
		}

		private void offList(Backend backend) {
			this.backends.remove(backend.id(), false);
		}

		private BackendClient.BackendExchange send(Backend to, OutgoingRequest request, BackendListener listener) {
			Endpoint endpoint = GatewayFleet.this.endpoints.get(to.start());
			Sent sent = new Sent(this, endpoint, request, listener);
			GatewayFleet.this.scheduler.schedule(TRAVEL, () -> {
				if (!sent.cancelled) {
					endpoint.arrives(sent);
				}
			});
			return sent;
		}

	}

}
