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
import java.util.function.LongConsumer;

import com.google.common.net.HostAndPort;
import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.request.CallerRequest;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * Daemons in front of the same endpoints, some of which end, on a manual clock.
 *
 * <p>
 * An endpoint that ends closes its connections and refuses new ones; after
 * {@link #DOWNTIME} another one listens at its address and turns its requests away, and
 * {@link #REMOVAL_DELAY} after its end its entry is off the list. Confined to the test's
 * thread.
 */
public final class GatewayFleet {

	static final Duration DOWNTIME = Duration.ofSeconds(2);

	static final Duration REMOVAL_DELAY = Duration.ofMillis(2_700);

	/** Crashes after which a request is known to be deadly. */
	public static final int CRASH_THRESHOLD = 3;

	/** A daemon is in touch if it has run and heard the store for so long. */
	public static final Duration SETTLING_TIME = Duration.ofSeconds(3);

	/** What callers send so long after a daemon heard of a leaving is too late. */
	static final Duration LEAVING_GRACE = Duration.ofSeconds(2);

	private static final long STEP = 20;

	private static final long SECOND = 1_000;

	static final ServiceName SERVICE = new ServiceName("quotes");

	static final DataCentre DATA_CENTRE = new DataCentre("east");

	private static final int MAX_FULL_MESH = 24;

	private static final int SLOTS = 11;

	public final ManualScheduler scheduler = new ManualScheduler();

	public final List<SimulatedDaemon> daemons = new ArrayList<>();

	final List<Arrival> arrivals = new ArrayList<>();

	public final SimulatedStore store = new SimulatedStore(this.scheduler);

	final Map<EndpointStart, SimulatedEndpoint> endpoints = new HashMap<>();

	final Random random;

	double messageLoss;

	private final Map<String, Long> callerSentAt = new HashMap<>();

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
			this.daemons.add(new SimulatedDaemon(this, i));
		}
		this.store.follow((object) -> this.daemons.forEach((daemon) -> daemon.crashes.recordChanged(object)));
		for (int i = 0; i < endpoints; i++) {
			startEndpoint();
		}
	}

	/**
	 * Sends a request to a daemon.
	 * @param daemon the daemon's place
	 * @param text the request's body; one that contains {@link SimulatedEndpoint#DEADLY}
	 * ends each endpoint that runs it
	 * @return what becomes of it
	 */
	public SimulatedCaller call(int daemon, String text) {
		SimulatedCaller caller = new SimulatedCaller();
		CallerRequest request = new CallerRequest("r" + ++this.requests, "POST", "/log/1", "hire.example", List.of(),
				text.getBytes(), Optional.of("key"), Optional.of(Duration.ofSeconds(10)), 0, 0, Optional.empty());
		this.callerSentAt.put(request.id(), this.scheduler.nanos());
		this.daemons.get(daemon).service.take(request, caller);
		return caller;
	}

	/**
	 * Lets time pass while callers call at random.
	 * @param millis for how long
	 * @param callsPerSecond calls to all daemons together
	 * @param draws draws who calls when
	 * @param events told the time before the calls of each 20 ms, in ms
	 */
	public void run(long millis, int callsPerSecond, Random draws, LongConsumer events) {
		int steps = (int) (SECOND / STEP);
		for (long now = 0; now < millis; now += STEP) {
			events.accept(now);
			for (int i = 0; i < callsPerSecond; i++) {
				if (draws.nextInt(steps) == 0) {
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
	 * Sets how many of the messages between daemons get lost.
	 * @param share the share of them
	 */
	public void setMessageLoss(double share) {
		this.messageLoss = share;
	}

	/**
	 * One of the endpoints.
	 * @param place its place among those that live, by id
	 * @return the endpoint
	 */
	public SimulatedEndpoint endpoint(int place) {
		return this.endpoints.values()
			.stream()
			.filter((each) -> each.alive)
			.sorted(Comparator.comparing((each) -> each.backend.id().value()))
			.skip(place)
			.findFirst()
			.orElseThrow();
	}

	/**
	 * Has all daemons take an endpoint's entry anew, as it is.
	 * @param endpoint the endpoint
	 */
	public void relist(SimulatedEndpoint endpoint) {
		this.daemons.forEach((daemon) -> daemon.putEntry(endpoint));
	}

	/**
	 * Has an endpoint's entry lapse for all daemons, as after an outage of the store.
	 * @param endpoint the endpoint
	 */
	public void lapse(SimulatedEndpoint endpoint) {
		this.daemons.forEach((daemon) -> daemon.lapseEntry(endpoint));
	}

	/**
	 * Has an endpoint name a limit in its answers from now on, or none any more.
	 * @param place the endpoint's place among those that live
	 * @param perSecond requests a second from all daemons together; empty for no limit
	 * @return the endpoint
	 */
	public SimulatedEndpoint limit(int place, OptionalDouble perSecond) {
		SimulatedEndpoint endpoint = endpoint(place);
		if (endpoint.limit.isEmpty() && perSecond.isPresent()) {
			endpoint.limitSetAt = this.scheduler.nanos();
			endpoint.limitReportedAt.clear();
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
		SimulatedDaemon fresh = new SimulatedDaemon(this, place);
		this.daemons.set(place, fresh);
		this.store.all().forEach(fresh.crashes::recordChanged);
		this.endpoints.values().stream().filter((endpoint) -> endpoint.alive).forEach(fresh::putEntry);
	}

	/**
	 * Ends the endpoints on which a request runs, for another reason than the request.
	 * @param text the request's body
	 * @return whether there was one
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
	 * Ends one of the endpoints on which a request runs.
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
	 * Resets the connections on which a request runs; its endpoint lives.
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
	 * {@link #SETTLING_TIME}.
	 * @param text its body
	 * @return how often
	 */
	public int lateArrivals(String text) {
		List<Long> all = arrivals(text);
		if (all.size() < CRASH_THRESHOLD) {
			return 0;
		}
		long known = all.get(CRASH_THRESHOLD - 1) + SETTLING_TIME.toMillis();
		return (int) this.arrivals.stream()
			.filter((arrival) -> arrival.text.equals(text) && arrival.settled && arrival.millis > known)
			.count();
	}

	public int crashedEndpoints() {
		return (int) this.endpoints.values().stream().filter((endpoint) -> !endpoint.alive).count();
	}

	long callerSentAt(SentRequest sent) {
		return this.callerSentAt.get(sent.id());
	}

	/**
	 * Whether all daemons tell all; in a larger fleet relays pass news on.
	 * @return true if they do
	 */
	boolean fullMesh() {
		return this.daemons.size() <= MAX_FULL_MESH;
	}

	void startEndpoint() {
		SimulatedEndpoint endpoint = new SimulatedEndpoint(this, new Backend(EndpointStart.untold("e" + ++this.started),
				SERVICE, HostAndPort.fromParts("10.0.0." + this.started % 200, 80), DATA_CENTRE, SLOTS, false));
		this.endpoints.put(endpoint.backend.start(), endpoint);
		this.daemons.forEach((daemon) -> daemon.putEntry(endpoint));
	}

	/**
	 * A request that reached an endpoint.
	 *
	 * @param text its body
	 * @param millis when
	 * @param settled whether it came from a daemon in touch
	 */
	public record Arrival(String text, long millis, boolean settled) {
	}

}
