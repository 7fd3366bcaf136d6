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
 * A reservation that waits or is held.
 *
 * <p>
 * Invariant: one of the two callbacks is called at most once, and none after closing.
 * Confined to the scheduler's thread.
 */
final class ActiveReservation implements Reservations.Reservation {

	private static final Duration PLAN_AGAIN = Duration.ofMillis(250);

	private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

	private final GroupReservations host;

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

	ActiveReservation(GroupReservations host, RequestId request, ServiceName service, ModelName model, long kvTokens,
			Consumer<List<Reservations.GroupMember>> reserved, Consumer<ServingException> failed) {
		this.host = host;
		this.progress = new GroupReservation(request);
		this.request = request;
		this.service = service;
		this.model = model;
		this.kvTokens = kvTokens;
		this.reserved = reserved;
		this.failed = failed;
		this.wait = host.waits().time();
	}

	GroupReservation progress() {
		return this.progress;
	}

	/**
	 * Begins.
	 * @param within how long to wait for the memory
	 */
	void start(Duration within) {
		this.deadline = this.host.scheduler().schedule(within, this::timedOut);
		this.host.scheduler().execute(this::plan);
	}

	@Override
	public void close() {
		if (!this.progress.closed()) {
			this.progress.close();
			this.deadline.cancel();
			this.host.ended(this);
			this.progress.giveUp().forEach(this.host::giveBack);
		}
	}

	/**
	 * An engine holds its part: asks the next, or hands over the group.
	 */
	void proceed() {
		if (overtaken()) {
			refused();
		}
		else if (this.progress.complete()) {
			this.deadline.cancel();
			this.wait.stop();
			this.handedOver = true;
			this.reserved.accept(this.progress.members());
		}
		else {
			this.progress.next().ifPresent(this.host::ask);
		}
	}

	/**
	 * Whether an engine of the group can no longer be used though the request hasn't
	 * started. A group may wait long for its last engine. Without this look an engine
	 * that announced meanwhile to stop would get a long prompt seconds later.
	 * @return true if another group must be chosen
	 */
	boolean overtaken() {
		if (!this.progress.planned() || this.handedOver) {
			return false;
		}
		return !this.host.usable(this.service, this.model).containsAll(this.progress.engines());
	}

	/**
	 * An engine refused, lost its part or leaves before all was held: gives back the rest
	 * and looks for another group.
	 */
	void refused() {
		this.progress.giveUp().forEach(this.host::giveBack);
		this.host.scheduler().schedule(PLAN_AGAIN, this::plan);
	}

	ReservationDump dump() {
		return new ReservationDump(this.request.toString(), this.kvTokens, this.progress.complete(),
				this.progress.held(), this.progress.next().orElse(null));
	}

	private void plan() {
		if (this.progress.closed() || this.progress.planned()) {
			return;
		}
		List<GroupPlan.Engine> engines = this.host.known(this.service, this.model, this.progress.avoided());
		Optional<List<GroupPlan.Part>> parts = GroupPlan.of(engines, this.kvTokens);
		if (parts.isPresent()) {
			this.progress.plan(parts.get());
			this.progress.next().ifPresent(this.host::ask);
		}
		else {
			this.progress.avoided().clear();
			this.host.scheduler().schedule(PLAN_AGAIN, this::plan);
		}
	}

	private void timedOut() {
		if (this.progress.closed() || this.progress.complete()) {
			return;
		}
		String peer = this.progress.next().map(HeldMemory::endpoint).map(Object::toString).orElse("self");
		close();
		this.host.failures().inc();
		this.failed.accept(new ServingException(ErrorCode.OVERLOADED, Ran.NO, Step.RESERVE, peer,
				"memory for " + this.kvTokens + " tokens could not be reserved in time", RETRY_AFTER));
	}

}
