package org.bramleyscale.internal.endpoint.reservation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ModelName;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.endpoint.HeldMemory;
import org.bramleyscale.internal.endpoint.HoldTimes;
import org.bramleyscale.internal.endpoint.KnownEndpoints;
import org.bramleyscale.internal.endpoint.Redirect;
import org.bramleyscale.internal.endpoint.Refused;
import org.bramleyscale.internal.endpoint.Release;
import org.bramleyscale.internal.endpoint.Renew;
import org.bramleyscale.internal.endpoint.Renewed;
import org.bramleyscale.internal.endpoint.Reservations;
import org.bramleyscale.internal.endpoint.Reserve;
import org.bramleyscale.internal.endpoint.Reserved;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;

/**
 * Reserves memory through the owners of the engines, one engine at a time in the order of
 * their names.
 *
 * <p>
 * Invariants: exactly one of the two callbacks of a reservation is called unless it is
 * closed first, and none after it was closed; its holds are renewed until it is closed,
 * and released then. A holder that fails stops renewing, which ends its holds within
 * {@link HoldTimes#MAX_RETENTION}. Confined to the scheduler's thread.
 */
public final class GroupReservations implements Reservations, StateDump {

	private static final Logger logger = Logger.getLogger(GroupReservations.class);

	/**
	 * After this time without a confirmation the owner may have failed, and during an
	 * outage of the platform no other daemon can replace it. The engine would then drop
	 * the memory of a running request, and the request would fail about half a minute
	 * after the owner. The holder therefore renews the hold at the engine itself.
	 */
	private static final long MAX_UNCONFIRMED = Duration.ofSeconds(10).toNanos();

	private final Scheduler scheduler;

	private final KnownEndpoints endpoints;

	private final PeerNetwork peers;

	private final EngineClient engines;

	private final Incarnation self;

	private final Counter failures;

	private final Timer waits;

	private final Set<ActiveReservation> active = new LinkedHashSet<>();

	private Cancellable renewalTask;

	/**
	 * Creates the reservations of one daemon.
	 * @param scheduler the daemon's scheduler
	 * @param endpoints the endpoints that the daemon knows
	 * @param peers the peers; must also deliver to this daemon itself
	 * @param engines the client for calls to engines
	 * @param self this daemon
	 * @param metrics the registry of the metrics of waits and failures
	 */
	public GroupReservations(Scheduler scheduler, KnownEndpoints endpoints, PeerNetwork peers, EngineClient engines,
			Incarnation self, MetricRegistry metrics) {
		this.scheduler = scheduler;
		this.endpoints = endpoints;
		this.peers = peers;
		this.engines = engines;
		this.self = self;
		this.failures = metrics.counter("endpoint.reservations.failed");
		this.waits = metrics.timer("endpoint.reservations.wait");
		metrics.gauge("endpoint.reservations.active", () -> this.active::size);
	}

	/**
	 * Starts listening to owners and renewing holds.
	 */
	public void start() {
		this.peers.listen(Reserved.class, this::reserved);
		this.peers.listen(Refused.class, this::refused);
		this.peers.listen(Renewed.class, this::renewed);
		this.peers.listen(Redirect.class, this::redirected);
		this.renewalTask = this.scheduler.repeat(HoldTimes.RENEW_PERIOD, this::tick);
	}

	public void stop() {
		this.renewalTask.cancel();
	}

	@Override
	public Reservation reserve(RequestId request, ServiceName service, ModelName model, long kvTokens, Duration timeout,
			Consumer<List<GroupMember>> reserved, Consumer<ServingException> failed) {
		if (kvTokens < 1) {
			throw new IllegalArgumentException("KV tokens to reserve must be at least 1, were " + kvTokens);
		}
		ActiveReservation reservation = new ActiveReservation(this, request, service, model, kvTokens, reserved,
				failed);
		this.active.add(reservation);
		reservation.start(timeout);
		return reservation;
	}

	@Override
	public long largestGroupTokens(ServiceName service, ModelName model) {
		return GroupPlan.holdable(candidateEngines(service, model, Set.of()));
	}

	@Override
	public String name() {
		return "reservations";
	}

	@Override
	public Object dump() {
		return this.active.stream().limit(ReservationDump.MAX_LISTED).map(ActiveReservation::dump).toList();
	}

	Scheduler scheduler() {
		return this.scheduler;
	}

	Timer waits() {
		return this.waits;
	}

	Counter failures() {
		return this.failures;
	}

	void remove(ActiveReservation reservation) {
		this.active.remove(reservation);
	}

	List<GroupPlan.Engine> candidateEngines(ServiceName service, ModelName model, Set<?> excluded) {
		List<GroupPlan.Engine> result = new ArrayList<>();
		this.endpoints.usable(service, model).forEach((entry) -> {
			if (!excluded.contains(entry.name())) {
				this.endpoints.report(entry.name())
					.ifPresent((report) -> result.add(GroupPlan.Engine.of(entry, report)));
			}
		});
		return result;
	}

	private void reserved(Incarnation from, Reserved message) {
		for (ActiveReservation reservation : List.copyOf(this.active)) {
			if (reservation.progress().reserved(message.endpoint(), message.hold(), this.scheduler.nanos())) {
				reservation.proceed();
				return;
			}
		}
		boolean known = this.active.stream()
			.anyMatch((each) -> each.progress()
				.held()
				.stream()
				.anyMatch((held) -> held.hold().equals(message.hold()) && held.endpoint().equals(message.endpoint())));
		if (!known) {
			// The reservation was closed while the owner was placing the hold.
			send(message.endpoint(), new Release(message.endpoint(), message.hold()));
		}
	}

	private void refused(Incarnation from, Refused message) {
		for (ActiveReservation reservation : List.copyOf(this.active)) {
			boolean complete = reservation.progress().complete();
			if (reservation.progress().refused(message)) {
				if (complete) {
					logger.warnf("Engine %s lost hold %s of a complete reservation", message.endpoint(),
							message.hold());
				}
				else {
					reservation.replan();
				}
				return;
			}
		}
	}

	private void renewed(Incarnation from, Renewed message) {
		long now = this.scheduler.nanos();
		for (String hold : message.holds()) {
			this.active.forEach((reservation) -> reservation.progress().renewed(hold, now));
		}
	}

	private void redirected(Incarnation from, Redirect message) {
		// The pool learns the owner from the same message, possibly after this call.
		this.scheduler.execute(() -> {
			for (ActiveReservation reservation : this.active) {
				reservation.progress()
					.next()
					.filter((next) -> next.endpoint().equals(message.endpoint()))
					.ifPresent(this::requestHold);
			}
		});
	}

	void requestHold(HeldMemory memory) {
		send(memory.endpoint(), new Reserve(memory.endpoint(), memory.hold(), memory.kvTokens()));
	}

	void release(HeldMemory held) {
		send(held.endpoint(), new Release(held.endpoint(), held.hold()));
	}

	private void send(EndpointId endpoint, PeerMessage message) {
		this.endpoints.owner(endpoint).ifPresent((owner) -> this.peers.send(owner, message));
	}

	Set<EndpointId> usable(ServiceName service, ModelName model) {
		return this.endpoints.usable(service, model).stream().map(EndpointEntry::name).collect(Collectors.toSet());
	}

	private void tick() {
		long now = this.scheduler.nanos();
		Map<VmId, List<HeldMemory>> byOwner = new HashMap<>();
		for (ActiveReservation reservation : List.copyOf(this.active)) {
			if (reservation.planOutdated()) {
				reservation.replan();
			}
			reservation.progress().next().ifPresent(this::requestHold);
			for (HeldMemory held : reservation.progress().held()) {
				Optional<VmId> owner = this.endpoints.owner(held.endpoint());
				owner.ifPresent((vm) -> byOwner.computeIfAbsent(vm, (key) -> new ArrayList<>()).add(held));
			}
			reservation.progress().unconfirmed(now, MAX_UNCONFIRMED).forEach(this::renewAtEngine);
		}
		byOwner.forEach((owner, holds) -> this.peers.send(owner, new Renew(holds)));
	}

	private void renewAtEngine(GroupMember member) {
		EngineHold hold = new EngineHold(member.hold(), this.self.toString(), member.kvTokens(),
				HoldTimes.ENGINE_LIFETIME);
		this.engines.hold(member.endpoint(), hold).whenComplete((kept, failure) -> {
			if (failure != null) {
				logger.infof("Engine %s did not answer the renewal of hold %s", member.endpoint().name(),
						member.hold());
			}
		});
	}

}
