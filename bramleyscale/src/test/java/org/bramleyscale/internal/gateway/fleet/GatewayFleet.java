package org.bramleyscale.internal.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;

import com.google.common.net.HostAndPort;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.gateway.retry.RetryBudget;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.time.ManualScheduler;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A simulated fleet of daemons in front of the same endpoints, some of which crash, on a
 * manual clock.
 *
 * <p>
 * An endpoint that crashes closes its connections and refuses new ones; after
 * {@link #DOWNTIME} another one listens at its address and answers its requests with
 * status 421, and {@link #REMOVAL_DELAY} after the crash its entry is removed from the
 * list. Confined to the test's thread.
 */
public final class GatewayFleet {

	static final Duration DOWNTIME = Duration.ofSeconds(2);

	static final Duration REMOVAL_DELAY = Duration.ofMillis(2_700);

	/**
	 * Time after which a daemon is settled, if it has run and the store has been
	 * available throughout.
	 */
	public static final Duration SETTLING_TIME = Duration.ofSeconds(3);

	/**
	 * Time after a daemon learnt that an endpoint is leaving from which on callers'
	 * requests must not reach that endpoint.
	 */
	static final Duration LEAVING_GRACE = Duration.ofSeconds(2);

	private static final long STEP = 20;

	private static final long SECOND = 1_000;

	static final ServiceName SERVICE = new ServiceName("quotes");

	/** The route of requests that may run more than once. */
	static final String REPEATABLE = "/log/";

	/** The route of requests that may run only once. */
	static final String NOT_REPEATABLE = "/book/";

	static final DataCentre DATA_CENTRE = new DataCentre("east");

	private static final int MAX_FULL_MESH = 24;

	private static final int SLOTS = 11;

	public final ManualScheduler scheduler = new ManualScheduler();

	public final List<SimulatedDaemon> daemons = new ArrayList<>();

	/** Called with each message that a daemon sends another. */
	public Consumer<PeerMessage> onPeerMessage = (message) -> {
	};

	public final ArrivalLog arrivals = new ArrivalLog();

	public final SimulatedStore store = new SimulatedStore(this.scheduler);

	final Map<EndpointStart, SimulatedEndpoint> endpoints = new HashMap<>();

	final Random random;

	private final int size;

	double messageLoss;

	/** Time that an endpoint takes to serve a request. */
	public Duration serviceTime = Duration.ofMillis(200);

	/**
	 * Whether responses have neither a length nor chunks, so that the response of an
	 * endpoint that crashes looks whole.
	 */
	public boolean unframed;

	/** Called with the id of each request that a caller sends. */
	public Consumer<String> onCall = (id) -> {
	};

	/**
	 * Called with the id of each request that arrives at an endpoint, or at another one
	 * that listens at its address by then.
	 */
	public Consumer<String> onArrival = (id) -> {
	};

	/** Draws what goes wrong with each request that arrives. */
	public Supplier<EndpointTrouble> trouble = () -> EndpointTrouble.NONE;

	/** Whether messages of one daemon reach another, by their positions. */
	public BiPredicate<Integer, Integer> connected = (from, to) -> true;

	final BudgetSource budgets;

	private final Map<String, Long> callerSentAt = new HashMap<>();

	private int started;

	private int requests;

	/**
	 * Starts a fleet.
	 * @param size the number of daemons
	 * @param endpoints the number of endpoints
	 * @param seed the seed of all random choices
	 */
	public GatewayFleet(int size, int endpoints, long seed) {
		this(size, endpoints, seed, GatewayFleet::ampleBudget);
	}

	/**
	 * Creates a budget for tests of other things. The first daemons of a fleet have been
	 * running for longer than its window.
	 * @param daemon the daemon's position
	 * @param scheduler the daemon's scheduler
	 * @return the budget
	 */
	private static RetryBudget ampleBudget(int daemon, Scheduler scheduler) {
		Duration window = Duration.ofSeconds(10);
		OffsetClock clock = new OffsetClock(scheduler);
		RetryBudget budget = new RetryBudget(clock, window, 0.2, () -> 60);
		if (scheduler.nanos() == 0) {
			clock.advance(window.multipliedBy(2));
		}
		return budget;
	}

	/**
	 * Starts a fleet.
	 * @param size the number of daemons
	 * @param endpoints the number of endpoints
	 * @param seed the seed of all random choices
	 * @param budgets creates the retry budget of each start of a daemon
	 */
	public GatewayFleet(int size, int endpoints, long seed, BudgetSource budgets) {
		this.budgets = budgets;
		this.random = new Random(seed);
		this.size = size;
		for (int i = 0; i < size; i++) {
			this.daemons.add(new SimulatedDaemon(this, i));
		}
		this.store.follow((object) -> this.daemons.forEach((daemon) -> daemon.crashes.recordChanged(object)));
		for (int i = 0; i < endpoints; i++) {
			startEndpoint();
		}
	}

	/**
	 * Sends a request to a daemon.
	 * @param daemon the daemon's index
	 * @param text the request's body; one that contains
	 * {@link SimulatedEndpoint#CRASHING} crashes each endpoint that runs it
	 * @return the caller, which records the answer
	 */
	public SimulatedCaller call(int daemon, String text) {
		return call(daemon, REPEATABLE, text);
	}

	SimulatedCaller call(int daemon, String path, String text) {
		return call(daemon, path, text, List.of());
	}

	/**
	 * Sends a request with a prompt to a daemon drawn at random.
	 * @param text the request's body
	 * @param parts the shared parts of its prompt; {@link SimulatedEndpoint#CRASHING}
	 * parts crash each endpoint that runs it
	 * @return the caller, which records the answer
	 */
	public SimulatedCaller callWithParts(String text, String... parts) {
		return call(this.random.nextInt(this.daemons.size()), REPEATABLE, text, List.of(parts));
	}

	/**
	 * Sends a request with a prompt to a daemon.
	 * @param daemon the daemon's index
	 * @param text the request's body
	 * @param parts the shared parts of its prompt
	 * @return the caller, which records the answer
	 */
	public SimulatedCaller callWithParts(int daemon, String text, List<String> parts) {
		return call(daemon, REPEATABLE, text, parts);
	}

	private SimulatedCaller call(int daemon, String path, String text, List<String> parts) {
		SimulatedCaller caller = new SimulatedCaller();
		CallerRequest request = new CallerRequest("r" + ++this.requests, "POST", path + "1", "hire.example", List.of(),
				text.getBytes(), Optional.of("key"), Optional.of(Duration.ofSeconds(10)), 0, 0, Optional.empty(),
				parts);
		this.callerSentAt.put(request.id(), this.scheduler.nanos());
		this.onCall.accept(request.id());
		this.daemons.get(daemon).handle(request, caller);
		return caller;
	}

	/**
	 * Kills a daemon, or starts it again with no state in memory.
	 * @param index the daemon's position
	 * @param up whether it runs
	 */
	public void setRunning(int index, boolean up) {
		if (up) {
			restart(index);
		}
		else {
			this.daemons.get(index).kill();
		}
	}

	/**
	 * Freezes a daemon, or lets it continue.
	 * @param index the daemon's position
	 * @param frozen whether it stands still
	 */
	public void setFrozen(int index, boolean frozen) {
		this.daemons.get(index).clock.setFrozen(frozen);
	}

	/**
	 * Whether a daemon runs and doesn't stand still.
	 * @param index the daemon's position
	 * @return true if it does
	 */
	public boolean responds(int index) {
		SimulatedDaemon daemon = this.daemons.get(index);
		return !daemon.killed() && !daemon.clock.frozen();
	}

	/**
	 * Adds a daemon on a machine of its own.
	 */
	public void addDaemon() {
		SimulatedDaemon added = new SimulatedDaemon(this, this.daemons.size());
		this.daemons.add(added);
		this.store.all().forEach(added.crashes::recordChanged);
		this.endpoints.values().stream().filter((endpoint) -> endpoint.alive).forEach(added::putEntry);
	}

	/**
	 * Advances the clock while callers send requests at random.
	 * @param millis the time to run for
	 * @param callsPerSecond the calls to all daemons together
	 * @param callRandom the source of the times of calls
	 * @param events called with the time, in ms, before the calls of each 20 ms
	 */
	public void run(long millis, int callsPerSecond, Random callRandom, LongConsumer events) {
		int steps = (int) (SECOND / STEP);
		for (long now = 0; now < millis; now += STEP) {
			events.accept(now);
			for (int i = 0; i < callsPerSecond; i++) {
				if (callRandom.nextInt(steps) == 0) {
					call("request " + now + "." + i);
				}
			}
			this.scheduler.advance(Duration.ofMillis(STEP));
		}
	}

	public SimulatedCaller call(String text) {
		return call(this.random.nextInt(this.daemons.size()), text);
	}

	/**
	 * Sets the fraction of messages between daemons that are lost.
	 * @param fraction the fraction
	 */
	public void setMessageLoss(double fraction) {
		this.messageLoss = fraction;
	}

	/**
	 * Returns one of the live endpoints.
	 * @param index its index among the live endpoints, ordered by id
	 * @return the endpoint
	 */
	public SimulatedEndpoint endpoint(int index) {
		return this.endpoints.values()
			.stream()
			.filter((each) -> each.alive)
			.sorted(Comparator.comparing((each) -> each.backend.id().value()))
			.skip(index)
			.findFirst()
			.orElseThrow();
	}

	/**
	 * Breaks the path between one daemon and all endpoints, or repairs it.
	 * @param daemon the daemon's index
	 * @param fault the fault
	 */
	public void setPathFault(int daemon, PathFault fault) {
		this.daemons.get(daemon).connections.setFault(fault, (endpoint) -> true);
	}

	/**
	 * Breaks the path between one daemon and some endpoints.
	 * @param daemon the daemon's index
	 * @param fault the fault
	 * @param share the share of the endpoints, chosen alike for all daemons
	 */
	public void setPartialPathFault(int daemon, PathFault fault, double share) {
		this.daemons.get(daemon).connections.setFault(fault,
				(endpoint) -> Math.floorMod(endpoint.id().value().hashCode(), 100) < 100 * share);
	}

	/**
	 * Counts the requests that daemons suspect of crashing endpoints now.
	 * @return the largest number at any daemon
	 */
	public int suspectedRequests() {
		return this.daemons.stream()
			.mapToInt((daemon) -> (Integer) daemon.metrics.getGauges().get("gateway.crashes.suspects").getValue())
			.max()
			.orElse(0);
	}

	List<Member> members() {
		return this.daemons.stream().map(SimulatedDaemon::member).toList();
	}

	/**
	 * The relays of a large fleet.
	 * @return their VMs, empty if the fleet is a full mesh
	 */
	Set<VmId> relays() {
		return fullMesh() ? Set.of() : SimulatedDaemon.relays();
	}

	int activeRequests() {
		return this.endpoints.values().stream().mapToInt((endpoint) -> endpoint.running.size()).sum();
	}

	/**
	 * Adds an endpoint's unchanged entry again on all daemons.
	 * @param endpoint the endpoint
	 */
	public void relist(SimulatedEndpoint endpoint) {
		this.daemons.forEach((daemon) -> daemon.putEntry(endpoint));
	}

	/**
	 * Makes an endpoint's entry lapse on all daemons, as after an outage of the store.
	 * @param endpoint the endpoint
	 */
	public void lapse(SimulatedEndpoint endpoint) {
		this.daemons.forEach((daemon) -> daemon.lapseEntry(endpoint));
	}

	/**
	 * Makes an endpoint name a limit in its answers from now on, or no longer name one.
	 * @param index the endpoint's index among the live endpoints
	 * @param perSecond the requests a second from all daemons together; empty for no
	 * limit
	 * @return the endpoint
	 */
	public SimulatedEndpoint limit(int index, OptionalDouble perSecond) {
		SimulatedEndpoint endpoint = endpoint(index);
		if (endpoint.limit.isEmpty() && perSecond.isPresent()) {
			endpoint.limitSetAt = this.scheduler.nanos();
			endpoint.limitReportedAt.clear();
		}
		endpoint.limit = perSecond;
		return endpoint;
	}

	/**
	 * Kills all daemons and restarts them with no state in memory.
	 */
	public void restartAll() {
		for (int i = 0; i < this.daemons.size(); i++) {
			restart(i);
		}
	}

	public void restart(int index) {
		this.daemons.get(index).kill();
		SimulatedDaemon restarted = new SimulatedDaemon(this, index);
		this.daemons.set(index, restarted);
		this.store.all().forEach(restarted.crashes::recordChanged);
		this.endpoints.values().stream().filter((endpoint) -> endpoint.alive).forEach(restarted::putEntry);
	}

	/**
	 * Crashes all endpoints on which a request runs, for a reason other than the request.
	 * @param text the request's body
	 * @return whether there was such an endpoint
	 */
	public boolean crashAllRunning(String text) {
		List<SimulatedEndpoint> running = this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.running.stream().anyMatch((sent) -> sent.text().equals(text)))
			.toList();
		running.forEach(SimulatedEndpoint::crash);
		return !running.isEmpty();
	}

	/**
	 * Crashes all endpoints, for a reason other than the requests.
	 */
	public void crashAll() {
		crashSome(this.random, 1);
	}

	/**
	 * Crashes some endpoints at once, for a reason other than the requests.
	 * @param choice chooses them
	 * @param share the share of all endpoints
	 */
	public void crashSome(Random choice, double share) {
		List.copyOf(this.endpoints.values())
			.stream()
			.filter((endpoint) -> choice.nextDouble() < share)
			.forEach(SimulatedEndpoint::crash);
	}

	/**
	 * Crashes the endpoint that runs the most requests, for a reason other than these.
	 */
	public void crashBusiest() {
		this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.alive)
			.max(Comparator.<SimulatedEndpoint>comparingInt((endpoint) -> endpoint.running.size())
				.thenComparing((endpoint) -> endpoint.backend.id().value()))
			.ifPresent(SimulatedEndpoint::crash);
	}

	/**
	 * Crashes one of the endpoints on which a request runs.
	 * @param text the request's body
	 */
	public void crashOneRunning(String text) {
		this.endpoints.values()
			.stream()
			.filter((endpoint) -> endpoint.running.stream().anyMatch((sent) -> sent.text().equals(text)))
			.min(Comparator.comparing((endpoint) -> endpoint.backend.id().value()))
			.ifPresent(SimulatedEndpoint::crash);
	}

	/**
	 * Resets the connections on which a request runs; its endpoints stay alive.
	 * @param text the request's body
	 */
	public void resetConnections(String text) {
		for (SimulatedEndpoint endpoint : this.endpoints.values()) {
			endpoint.running.stream()
				.filter((sent) -> sent.text().equals(text))
				.toList()
				.forEach((sent) -> sent.listener.failed(true, "reset"));
			endpoint.running.removeIf((sent) -> sent.text().equals(text));
		}
	}

	public int crashedEndpoints() {
		return (int) this.endpoints.values().stream().filter((endpoint) -> !endpoint.alive).count();
	}

	/**
	 * Counts the requests that daemons reported as crashing an endpoint, once for each
	 * endpoint and daemon.
	 * @return the number of reports
	 */
	public long reportedCrashes() {
		return this.daemons.stream()
			.mapToLong((daemon) -> daemon.metrics.counter("gateway.crashes.seen").getCount())
			.sum();
	}

	long callerSentAt(SentRequest sent) {
		return this.callerSentAt.get(sent.id());
	}

	/**
	 * Whether daemons broadcast to all others directly; in a larger fleet relays forward
	 * updates.
	 * @return true if they broadcast directly
	 */
	boolean fullMesh() {
		return this.size <= MAX_FULL_MESH;
	}

	void startEndpoint() {
		SimulatedEndpoint endpoint = new SimulatedEndpoint(this,
				new Backend(EndpointStart.withUnknownStart("e" + ++this.started), SERVICE,
						HostAndPort.fromParts("10.0.0." + this.started % 200, 80), DATA_CENTRE, SLOTS, false));
		this.endpoints.put(endpoint.backend.start(), endpoint);
		this.daemons.forEach((daemon) -> daemon.putEntry(endpoint));
	}

}
