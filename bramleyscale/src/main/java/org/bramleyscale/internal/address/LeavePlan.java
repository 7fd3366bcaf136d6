package org.bramleyscale.internal.address;

import java.time.Duration;
import java.util.Optional;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Runs the phases of a daemon's planned stop.
 *
 * <p>
 * The daemon is first left out of address answers but continues to accept requests, since
 * callers may still use a cached answer. It refuses new requests only after the last of
 * those answers has expired, and shuts down after the last request has ended. Invariants:
 * phases only advance, in their declared order; a refusal states that the request didn't
 * run. Confined to the scheduler's thread.
 */
public final class LeavePlan implements StateDump {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	private final Scheduler scheduler;

	private final LeaveActions actions;

	private final AddressResolver addresses;

	private final LeaveTimes times;

	private Phase phase = Phase.SERVING;

	private long startedAt;

	private long idleSince;

	private boolean idle;

	public LeavePlan(Scheduler scheduler, LeaveActions actions, AddressResolver addresses, LeaveTimes times) {
		this.scheduler = scheduler;
		this.actions = actions;
		this.addresses = addresses;
		this.times = times;
	}

	/**
	 * Starts the planned stop; further calls have no effect.
	 */
	public void begin() {
		if (this.phase != Phase.SERVING) {
			return;
		}
		this.phase = Phase.ANNOUNCED;
		this.startedAt = this.scheduler.nanos();
		this.actions.announce();
		this.scheduler.schedule(this.times.keepFor().plus(this.times.propagation()), this::refuse);
	}

	public Phase phase() {
		return this.phase;
	}

	/**
	 * The refusal of a new request of an account.
	 * @param account the account
	 * @return the refusal, with an alternative address if there is one, or empty if the
	 * request is accepted
	 */
	public Optional<ServingException> refusal(ClientAccountId account) {
		if (this.phase.compareTo(Phase.REFUSING) < 0) {
			return Optional.empty();
		}
		String hint = alternative(account).map((entry) -> "; use " + entry.address()).orElse("");
		return Optional.of(new ServingException(ErrorCode.LEAVING, Ran.NO, Step.ADMIT, "self",
				"this entry is leaving" + hint, Duration.ZERO));
	}

	/**
	 * The entry that an account should call instead of this one.
	 * @param account the account
	 * @return its preferred entry, which is never this daemon once the stop has begun
	 */
	public Optional<AddressAnswer.Entry> alternative(ClientAccountId account) {
		return this.addresses.addresses(account).entries().stream().findFirst();
	}

	@Override
	public String name() {
		return "leave";
	}

	@Override
	public Object dump() {
		return new Dump(this.phase, this.actions.unfinished());
	}

	private void refuse() {
		this.phase = Phase.REFUSING;
		this.actions.refuseNew();
		check();
	}

	private void check() {
		long now = this.scheduler.nanos();
		boolean idleNow = this.actions.unfinished() == 0;
		if (idleNow && !this.idle) {
			this.idleSince = now;
		}
		this.idle = idleNow;
		if (this.idle && now - this.idleSince >= this.times.linger().toNanos()) {
			end(true);
		}
		else if (now - this.startedAt >= this.times.limit().toNanos()) {
			end(this.idle);
		}
		else {
			this.scheduler.schedule(CHECK_INTERVAL, this::check);
		}
	}

	private void end(boolean complete) {
		this.phase = Phase.ENDED;
		this.actions.end(complete);
	}

	/**
	 * The phases of the planned stop in chronological order.
	 */
	public enum Phase {

		/** No stop is planned. */
		SERVING,

		/** Left out of address answers, still accepting requests. */
		ANNOUNCED,

		/** Refusing new requests until the accepted ones have ended. */
		REFUSING,

		/** The shutdown of the daemon has been requested. */
		ENDED

	}

	/**
	 * The state dump of the plan.
	 *
	 * @param phase the current phase
	 * @param unfinished the number of requests that have not ended
	 */
	private record Dump(Phase phase, int unfinished) {
	}

}
