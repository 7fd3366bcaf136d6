package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;

import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.time.Clock;

/**
 * Judges whether a watch still works, and whether the store holds watches for as long as
 * it is asked to.
 *
 * <p>
 * A connection to the store may go silent without an error, and only the end of the watch
 * would show it, seconds later. Invariant: once a watch has been abandoned, watches count
 * as doubtful until the store answers. Confined to the scheduler's thread.
 */
final class WatchHealth {

	/** How long a watch may lag behind copies of peers before it counts as silent. */
	static final Duration STALLED_AFTER = Duration.ofMillis(500);

	/** By how much timers of the store may be ahead of those of this daemon. */
	private static final Duration TIMER_TOLERANCE = Duration.ofMillis(100);

	private final String kind;

	private final Clock clock;

	private final ObjectCopies copies;

	private final FollowOrder order;

	private final FollowTimes times;

	private final StoreAvailability availability;

	private final DecisionLog log;

	private long upToDateAt;

	private boolean abandoned;

	private boolean endsEarly;

	WatchHealth(String kind, Clock clock, ObjectCopies copies, FollowOrder order, FollowTimes times,
			StoreAvailability availability, DecisionLog log) {
		this.kind = kind;
		this.clock = clock;
		this.copies = copies;
		this.order = order;
		this.times = times;
		this.availability = availability;
		this.log = log;
	}

	/**
	 * Records the start of a call.
	 * @param now the time
	 */
	void started(long now) {
		this.upToDateAt = now;
	}

	/** Records an answer of the store. */
	void answered() {
		this.abandoned = false;
	}

	/**
	 * Whether a watch was abandoned and the store hasn't answered since.
	 * @return true if the next call is to be a short one
	 */
	boolean abandoned() {
		return this.abandoned;
	}

	/**
	 * Whether a call is a watch on a connection that may have gone silent: peers have
	 * sent changes that should have completed it, or none confirms the copies any more.
	 * @param call the pending call
	 * @param now the time
	 * @return true if the watch is to be abandoned
	 */
	boolean isStalled(StoreCall call, long now) {
		if (call.after() == StoreCall.NO_WATCH) {
			return false;
		}
		boolean behind = this.copies.lastChange() > call.after();
		if (!behind) {
			this.upToDateAt = now;
		}
		boolean silent = behind && now - this.upToDateAt >= STALLED_AFTER.toNanos();
		if (!silent && !isUnconfirmedByPeers(call, now)) {
			return false;
		}
		this.abandoned = true;
		this.log.belief("store", this.kind, "watch", silent ? "silent" : "unconfirmed", "after",
				StoreRevision.text(call.after()), "known", StoreRevision.text(this.copies.lastChange()));
		return true;
	}

	/**
	 * Whether no daemon has confirmed the copies for longer than any waits before it
	 * queries the store itself.
	 * @param call the pending watch
	 * @param now the time
	 * @return true if this daemon can't rely on its peers
	 */
	private boolean isUnconfirmedByPeers(StoreCall call, long now) {
		long longestCheck = this.times.longestCheckDelay().toNanos();
		boolean expected = this.order.hasPeers() && this.availability.failures() == 0;
		return expected && now - this.copies.confirmedAt() > longestCheck && now - call.startedAt() > longestCheck;
	}

	/**
	 * Whether the store held a watch for as long as it was asked to. An answer that comes
	 * sooner tells that it doesn't always, and then not when an answer was made that was
	 * under way for long.
	 * @param startedAt when the watch was started
	 * @param wait how long it was to last
	 * @return false if the store may have made its answer at any time since the start
	 */
	boolean heldToItsEnd(long startedAt, Duration wait) {
		Duration elapsed = Duration.ofNanos(this.clock.nanos() - startedAt);
		this.endsEarly |= elapsed.plus(TIMER_TOLERANCE).compareTo(wait) < 0;
		return !this.endsEarly;
	}

}
