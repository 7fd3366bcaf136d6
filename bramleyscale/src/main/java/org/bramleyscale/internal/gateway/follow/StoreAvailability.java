package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;

import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.time.Clock;

/**
 * Records whether the store answers this daemon, and whether it answers any.
 *
 * <p>
 * Invariant: an outage lasts until the first answer after it, since that answer may
 * report entries that expired meanwhile; the first part of a list is such an answer,
 * however long the rest takes. Confined to the scheduler's thread.
 */
final class StoreAvailability {

	/** Earlier than anything that is asked about. */
	private static final Duration LONG_AGO = Duration.ofDays(1);

	/** The time after which a daemon that reaches the store counts as in touch. */
	private static final Duration CONTACT_TIME = Duration.ofSeconds(3);

	private final Clock clock;

	private final ObjectCopies copies;

	private final FollowTimes times;

	private long failures;

	private long lastFailureAt;

	private long lastOutageAt;

	private long lastAnswerAt;

	private long lastFailedCallAt;

	/** Whether the store has answered a part of the pending list. */
	private boolean answeredInPart;

	private long firstPartAt;

	/** The latest time at which the store is known not to have been back. */
	private long awayAt;

	StoreAvailability(Clock clock, ObjectCopies copies, FollowTimes times) {
		this.clock = clock;
		this.copies = copies;
		this.times = times;
		this.lastAnswerAt = clock.nanos();
		this.lastFailureAt = this.lastAnswerAt - LONG_AGO.toNanos();
		this.lastOutageAt = this.lastFailureAt;
		this.lastFailedCallAt = this.lastFailureAt;
		this.awayAt = this.lastFailureAt;
	}

	/**
	 * Records a failed call. A single one is no sign of an outage unless it was overdue.
	 * @param call the call
	 */
	void failed(StoreCall call) {
		long now = this.clock.nanos();
		this.lastFailureAt = now;
		this.lastFailedCallAt = call.startedAt();
		this.awayAt = Math.min(now, call.heldUntil());
		this.failures++;
		this.answeredInPart = false;
		if ((this.failures > 1 || now - call.dueAt() >= 0) && unconfirmed(now)) {
			this.lastOutageAt = now;
		}
	}

	/**
	 * Records an answer that holds a part of a list.
	 */
	void answeredInPart() {
		if (!this.answeredInPart) {
			this.answeredInPart = true;
			this.firstPartAt = this.clock.nanos();
		}
	}

	/**
	 * Records an answer, or the end of a list that was answered in parts.
	 */
	void answered() {
		long now = this.clock.nanos();
		if (this.failures > 0) {
			this.lastFailureAt = now;
			if (unconfirmed(now)) {
				this.lastOutageAt = this.answeredInPart ? this.firstPartAt : now;
			}
		}
		this.failures = 0;
		this.answeredInPart = false;
		this.lastAnswerAt = now;
	}

	/**
	 * Records that the store has come back from an older copy of itself, however short it
	 * was away.
	 */
	void cameBackOlder() {
		this.lastFailureAt = this.clock.nanos();
		this.lastOutageAt = this.lastFailureAt;
		this.awayAt = this.lastFailureAt;
	}

	/**
	 * Whether no daemon has received an answer of the store for a while. The store may
	 * refuse single daemons while it serves the others and the endpoints, whose entries
	 * don't expire then.
	 * @param now the time
	 * @return true if the store is unavailable to all daemons, as far as this one knows
	 */
	private boolean unconfirmed(long now) {
		return now - this.copies.confirmedAt() > this.times.retryAfter().toNanos();
	}

	/**
	 * The number of calls that have failed since the last answer.
	 * @return the number
	 */
	long failures() {
		return this.failures;
	}

	long lastAnswerAt() {
		return this.lastAnswerAt;
	}

	boolean failedSince(long time) {
		return this.lastFailedCallAt - time >= 0;
	}

	Duration sinceFailure() {
		return Duration.ofNanos(this.clock.nanos() - this.lastFailureAt);
	}

	Duration sinceOutage() {
		return Duration.ofNanos(this.clock.nanos() - this.lastOutageAt);
	}

	/**
	 * The time since the store returned from the last outage, at the earliest that a
	 * daemon may assume that is in touch {@link #CONTACT_TIME} after the return: entries
	 * that expired have {@link BackendTable#LAPSE_GRACE_PERIOD} of that time to come
	 * back. A store that is back answers a call at the end of its wait.
	 * @return the time
	 */
	private Duration sinceReturn() {
		Duration uncertainty = CONTACT_TIME.minus(BackendTable.LAPSE_GRACE_PERIOD);
		Duration atLeast = Duration.ofNanos(this.clock.nanos() - this.awayAt).minus(uncertainty);
		Duration sinceOutage = sinceOutage();
		return (sinceOutage.compareTo(atLeast) < 0) ? atLeast : sinceOutage;
	}

	/**
	 * The time since the last outage in which an object that is missing now may have
	 * expired.
	 * @param reported the time since the last sign of an outage, as reported by peers
	 * @return the time, as far as it may concern such an object
	 */
	Duration sinceOutage(Duration reported) {
		Duration own = sinceReturn();
		Duration sinceOutage = (own.compareTo(reported) < 0) ? own : reported;
		long now = this.clock.nanos();
		Duration sinceConfirmed = Duration.ofNanos(now - this.copies.confirmedAt());
		return (unconfirmed(now) || sinceConfirmed.compareTo(sinceOutage) < 0) ? sinceOutage : sinceConfirmed;
	}

	Duration silence() {
		return Duration.ofNanos(this.clock.nanos() - this.lastAnswerAt);
	}

}
