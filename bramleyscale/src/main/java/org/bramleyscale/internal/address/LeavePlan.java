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
 * Takes a daemon through its planned stop.
 *
 * <p>
 * The daemon first drops out of address answers while it goes on accepting, since callers
 * that keep an earlier answer still come. Only when the last of those answers has expired
 * does it refuse new requests, and it ends when the last request has ended. Invariants:
 * phases pass in order and never back; a refusal says that the request didn't run.
 * Confined to the scheduler's thread.
 */
public final class LeavePlan implements StateDump {

	private static final Duration CHECK = Duration.ofMillis(100);

	private final Scheduler scheduler;

	private final LeaveActions actions;

	private final AddressBook addresses;

	private final LeaveTimes times;

	private Phase phase = Phase.SERVING;

	private long begunAt;

	private long idleSince;

	private boolean idle;

	public LeavePlan(Scheduler scheduler, LeaveActions actions, AddressBook addresses, LeaveTimes times) {
		this.scheduler = scheduler;
		this.actions = actions;
		this.addresses = addresses;
		this.times = times;
	}

	/**
	 * Begins the stop; calling again has no effect.
	 */
	public void begin() {
		if (this.phase != Phase.SERVING) {
			return;
		}
		this.phase = Phase.ANNOUNCED;
		this.begunAt = this.scheduler.nanos();
		this.actions.announce();
		this.scheduler.schedule(this.times.keepFor().plus(this.times.spread()), this::refuse);
	}

	public Phase phase() {
		return this.phase;
	}

	/**
	 * Why a new request of an account is refused.
	 * @param account the account
	 * @return the refusal, naming another address if there is one, or empty if the
	 * request is taken
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
	 * Where an account should go instead.
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
		else if (now - this.begunAt >= this.times.limit().toNanos()) {
			end(this.idle);
		}
		else {
			this.scheduler.schedule(CHECK, this::check);
		}
	}

	private void end(boolean complete) {
		this.phase = Phase.ENDED;
		this.actions.end(complete);
	}

	/**
	 * The phases in their order.
	 */
	public enum Phase {

		/** No stop is planned. */
		SERVING,

		/** Out of address answers, still accepting. */
		ANNOUNCED,

		/** Refusing new requests while the accepted ones end. */
		REFUSING,

		/** The daemon has been told to end. */
		ENDED

	}

	/**
	 * The plan in the state dump.
	 *
	 * @param phase the phase
	 * @param unfinished how many requests have not ended
	 */
	private record Dump(Phase phase, int unfinished) {
	}

}
