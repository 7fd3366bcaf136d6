package org.bramleyscale.internal.gateway.limit;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.catalog.Catalog;
import org.bramleyscale.internal.gateway.catalog.ColdStart;
import org.bramleyscale.internal.gateway.catalog.Service;
import org.bramleyscale.internal.gateway.eligibility.EndpointQuota;
import org.bramleyscale.internal.gateway.eligibility.Reservation;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Clock;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Limits the requests that cold endpoints receive from all daemons together.
 *
 * <p>
 * Only the holders of an endpoint send it requests while it is cold, each at most its
 * share in any {@link #WINDOW}. Invariants: requests that were sent before the endpoint
 * turned cold, or to its previous start, count as well, since a daemon may learn late of
 * either; parts of prompts count as requests; a reserved request counts until it is sent
 * and a window longer. Only a later report or the end of the reported time ends an
 * endpoint's coldness. Confined to the scheduler's thread.
 */
public final class ColdEndpoints implements EndpointQuota {

	/**
	 * The time for which a request counts: a second, plus the time that connecting may
	 * take after it was counted (250 ms).
	 */
	static final Duration WINDOW = Duration.ofMillis(1_250);

	/** The longest time that an endpoint may report to remain cold. */
	private static final Duration MAX_REMAINING = Duration.ofDays(1);

	private final Clock clock;

	private final Optional<ColdBounds> bounds;

	private final Function<ServiceName, ColdStart> coldStarts;

	private final ColdHolders holders;

	private final DecisionLog log;

	private final Map<EndpointStart, Cold> cold = new HashMap<>();

	private final Map<EndpointId, Sends> sends = new HashMap<>();

	/**
	 * Creates the limits.
	 * @param clock the daemon's clock
	 * @param bounds the bounds, or empty if cold endpoints are treated like others
	 * @param coldStarts what the endpoints of a service tolerate while they are cold
	 * @param holders determines this daemon's shares
	 * @param log the decision log
	 * @param metrics the metric registry
	 */
	ColdEndpoints(Clock clock, Optional<ColdBounds> bounds, Function<ServiceName, ColdStart> coldStarts,
			ColdHolders holders, DecisionLog log, MetricRegistry metrics) {
		this.clock = clock;
		this.bounds = bounds;
		this.coldStarts = coldStarts;
		this.holders = holders;
		this.log = log;
		metrics.gauge("gateway.endpoints.cold", () -> this::coldCount);
	}

	/**
	 * Creates the limits of a daemon. Without bounds it doesn't follow the fleet.
	 * @param scheduler the daemon's scheduler
	 * @param network the connections to peers
	 * @param fleet the fleet as this daemon knows it
	 * @param self this daemon's VM
	 * @param bounds the bounds, or empty if cold endpoints are treated like others
	 * @param catalog the operator's document in force
	 * @param log the decision log
	 * @param metrics the metric registry
	 * @return the limits
	 */
	public static ColdEndpoints create(Scheduler scheduler, PeerNetwork network, HolderFleet fleet, VmId self,
			Optional<ColdBounds> bounds, Supplier<Optional<Catalog>> catalog, DecisionLog log, MetricRegistry metrics) {
		ColdHolders holders = new ColdHolders(scheduler, self, fleet,
				() -> catalog.get()
					.stream()
					.flatMap((current) -> current.services().stream())
					.map(Service::coldStart)
					.anyMatch(ColdStart::limited));
		if (bounds.isPresent()) {
			holders.start(network);
		}
		return new ColdEndpoints(scheduler, bounds,
				(service) -> catalog.get()
					.flatMap((current) -> current.service(service))
					.map(Service::coldStart)
					.orElse(ColdStart.NONE),
				holders, log, metrics);
	}

	/**
	 * Whether cold endpoints are limited at all.
	 * @return false if they are treated like others
	 */
	public boolean enabled() {
		return this.bounds.isPresent();
	}

	/**
	 * Applies an endpoint's report, which replaces its earlier one.
	 * @param endpoint the endpoint
	 * @param remaining how long it remains cold, zero if it isn't cold
	 */
	public void reported(Backend endpoint, Duration remaining) {
		if (!enabled() || (remaining.isZero() && !this.cold.containsKey(endpoint.start()))) {
			return;
		}
		Duration bounded = (remaining.compareTo(MAX_REMAINING) < 0) ? remaining : MAX_REMAINING;
		Cold state = this.cold.computeIfAbsent(endpoint.start(), (start) -> new Cold(endpoint.service()));
		state.until = this.clock.nanos() + bounded.toNanos();
	}

	@Override
	public boolean permits(EndpointStart endpoint) {
		Cold state = this.cold.get(endpoint);
		if (state == null || !isLimited(state)) {
			return true;
		}
		Sends sent = this.sends.get(endpoint.id());
		return ((sent != null) ? sent.count() : 0) < share(endpoint, state);
	}

	@Override
	public boolean permitsHelp(EndpointStart endpoint) {
		return permits(endpoint);
	}

	@Override
	public void sent(EndpointStart endpoint) {
		if (enabled()) {
			sends(endpoint).times.addLast(this.clock.nanos());
		}
	}

	@Override
	public void helpRequested(EndpointStart endpoint) {
		sent(endpoint);
	}

	@Override
	public Reservation reserve(EndpointStart endpoint, boolean part) {
		return enabled() ? new ColdReservation(endpoint) : Reservation.SENT;
	}

	/**
	 * {@inheritDoc} A cold endpoint stays in its lane: several daemons together send it
	 * as much work as it takes.
	 */
	@Override
	public boolean leavesLanes(EndpointStart endpoint) {
		return false;
	}

	/**
	 * Removes expired state and logs what has changed; called several times a second.
	 */
	public void expire() {
		this.sends.values().removeIf(Sends::isEmpty);
		this.cold.forEach(this::logChange);
		this.cold.values().removeIf((state) -> remaining(state) <= 0);
	}

	private void logChange(EndpointStart endpoint, Cold state) {
		boolean limited = isLimited(state);
		boolean holder = limited && share(endpoint, state) > 0;
		if (limited != state.loggedLimited || holder != state.loggedHolder) {
			state.loggedLimited = limited;
			state.loggedHolder = holder;
			this.log.belief("endpoint", endpoint, "cold_ms",
					limited ? Duration.ofNanos(remaining(state)).toMillis() : 0, "holder", holder);
		}
	}

	private long remaining(Cold state) {
		return state.until - this.clock.nanos();
	}

	private boolean isLimited(Cold state) {
		return remaining(state) > 0 && this.coldStarts.apply(state.service).limited();
	}

	private int share(EndpointStart endpoint, Cold state) {
		double perSecond = this.coldStarts.apply(state.service).perSecond();
		return this.holders.share(endpoint.id(), this.bounds.orElseThrow().division(perSecond));
	}

	private long coldCount() {
		return this.cold.values().stream().filter(this::isLimited).count();
	}

	private Sends sends(EndpointStart endpoint) {
		return this.sends.computeIfAbsent(endpoint.id(), (id) -> new Sends());
	}

	/**
	 * A report of a cold endpoint, and what was logged about it.
	 */
	private static final class Cold {

		private final ServiceName service;

		private long until;

		private boolean loggedLimited;

		private boolean loggedHolder;

		private Cold(ServiceName service) {
			this.service = service;
		}

	}

	/**
	 * The requests that this daemon has sent to an endpoint within the window, and those
	 * that it may still send.
	 */
	private final class Sends {

		private final Deque<Long> times = new ArrayDeque<>();

		private int reserved;

		private int count() {
			long oldest = ColdEndpoints.this.clock.nanos() - WINDOW.toNanos();
			while (!this.times.isEmpty() && this.times.peekFirst() - oldest < 0) {
				this.times.removeFirst();
			}
			return this.times.size() + this.reserved;
		}

		private boolean isEmpty() {
			return count() == 0;
		}

	}

	/**
	 * A request that is sent once memory is held for it. Whether the endpoint is cold is
	 * decided again when it is sent.
	 */
	private final class ColdReservation implements Reservation {

		private final EndpointStart endpoint;

		private boolean open = true;

		private ColdReservation(EndpointStart endpoint) {
			this.endpoint = endpoint;
			sends(endpoint).reserved++;
		}

		@Override
		public boolean use() {
			if (!this.open) {
				return false;
			}
			cancel();
			boolean permitted = permits(this.endpoint);
			if (permitted) {
				sent(this.endpoint);
			}
			return permitted;
		}

		@Override
		public void cancel() {
			if (this.open) {
				this.open = false;
				sends(this.endpoint).reserved--;
			}
		}

	}

}
