package org.bramleyscale.internal.endpoint.reservation;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.codahale.metrics.Timer;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.ModelName;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.endpoint.HeldMemory;
import org.bramleyscale.internal.endpoint.Reservations;
import org.bramleyscale.internal.time.Cancellable;

/**
 * A reservation that is waiting or held.
 *
 * <p>
 * Invariant: at most one of the two callbacks is called, at most once, and none after
 * closing. Confined to the scheduler's thread.
 */
final class ActiveReservation implements Reservations.Reservation {

	private static final Duration REPLAN_DELAY = Duration.ofMillis(250);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

	private final GroupReservations reservations;

	private final GroupReservation progress;

	private final RequestId request;

	private final ServiceName service;

	private final ModelName model;

	private final long kvTokens;

	private final Consumer<List<Reservations.GroupMember>> reserved;

	private final Consumer<ServingException> failed;

	private final Timer.Context wait;

	private Cancellable deadline;

	private boolean handedOver;

	ActiveReservation(GroupReservations reservations, RequestId request, ServiceName service, ModelName model,
			long kvTokens, Consumer<List<Reservations.GroupMember>> reserved, Consumer<ServingException> failed) {
		this.reservations = reservations;
		this.progress = new GroupReservation(request);
		this.request = request;
		this.service = service;
		this.model = model;
		this.kvTokens = kvTokens;
		this.reserved = reserved;
		this.failed = failed;
		this.wait = reservations.waits().time();
	}

	GroupReservation progress() {
		return this.progress;
	}

	/**
	 * Starts the reservation.
	 * @param timeout how long to wait for the memory
	 */
	void start(Duration timeout) {
		this.deadline = this.reservations.scheduler().schedule(timeout, this::timedOut);
		this.reservations.scheduler().execute(this::plan);
	}

	@Override
	public void close() {
		if (!this.progress.closed()) {
			this.progress.close();
			this.deadline.cancel();
			this.reservations.remove(this);
			this.progress.abortRound().forEach(this.reservations::release);
		}
	}

	/**
	 * Continues after an engine has placed its hold: asks the next engine, or hands over
	 * the complete group.
	 */
	void proceed() {
		if (planOutdated()) {
			replan();
		}
		else if (this.progress.complete()) {
			this.deadline.cancel();
			this.wait.stop();
			this.handedOver = true;
			this.reserved.accept(this.progress.members());
		}
		else {
			this.progress.next().ifPresent(this.reservations::requestHold);
		}
	}

	/**
	 * Returns whether an engine of the group has become unusable before the request
	 * started. A group may wait long for its last engine. Without this check, an engine
	 * that has meanwhile announced that it is leaving would receive a long prompt seconds
	 * after its announcement.
	 * @return true if another group must be chosen
	 */
	boolean planOutdated() {
		if (!this.progress.planned() || this.handedOver) {
			return false;
		}
		return !this.reservations.usable(this.service, this.model).containsAll(this.progress.engines());
	}

	/**
	 * Releases all holds and plans another group, because an engine refused its hold,
	 * lost it or is leaving before the group was complete.
	 */
	void replan() {
		this.progress.abortRound().forEach(this.reservations::release);
		this.reservations.scheduler().schedule(REPLAN_DELAY, this::plan);
	}

	ReservationDump dump() {
		return new ReservationDump(this.request.toString(), this.kvTokens, this.progress.complete(),
				this.progress.held(), this.progress.next().orElse(null));
	}

	private void plan() {
		if (this.progress.closed() || this.progress.planned()) {
			return;
		}
		List<GroupPlan.Engine> engines = this.reservations.candidateEngines(this.service, this.model,
				this.progress.excluded());
		Optional<List<GroupPlan.Part>> parts = GroupPlan.of(engines, this.kvTokens);
		if (parts.isPresent()) {
			this.progress.plan(parts.get());
			this.progress.next().ifPresent(this.reservations::requestHold);
		}
		else {
			this.progress.excluded().clear();
			this.reservations.scheduler().schedule(REPLAN_DELAY, this::plan);
		}
	}

	private void timedOut() {
		if (this.progress.closed() || this.progress.complete()) {
			return;
		}
		String peer = this.progress.next().map(HeldMemory::endpoint).map(Object::toString).orElse("self");
		close();
		this.reservations.failures().inc();
		this.failed.accept(new ServingException(ErrorCode.OVERLOADED, Ran.NO, Step.RESERVE, peer,
				"memory for " + this.kvTokens + " tokens could not be reserved in time", RETRY_AFTER));
	}

}
