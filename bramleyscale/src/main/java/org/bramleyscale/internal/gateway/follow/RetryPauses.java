package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.random.RandomGenerator;

/**
 * The pauses between calls to a store that doesn't answer, with jitter that spreads the
 * calls of the fleet.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class RetryPauses {

	/**
	 * The first pause after a failure: a transient one must cost less than a heartbeat.
	 */
	static final Duration MIN_BACKOFF = Duration.ofMillis(50);

	/**
	 * The longest pause of a watcher. Entries that expired in an outage are removed two
	 * seconds later unless the watcher has seen them return by then.
	 */
	static final Duration MAX_BACKOFF = Duration.ofMillis(400);

	/** Beyond this many doublings every pause is the longest one. */
	private static final int MAX_DOUBLINGS = 10;

	/** The interval of the others divided by this is the range of its jitter. */
	private static final int JITTER_DIVISOR = 8;

	private final FollowTimes times;

	private final RandomGenerator random;

	RetryPauses(FollowTimes times, RandomGenerator random) {
		this.times = times;
		this.random = random;
	}

	/**
	 * The pause of a daemon that watches.
	 * @param failures the number of calls that have failed in a row, at least 1
	 * @return the pause, ns
	 */
	long ofWatcher(long failures) {
		long pause = Math.min(MIN_BACKOFF.toNanos() << Math.min(failures - 1, MAX_DOUBLINGS), MAX_BACKOFF.toNanos());
		return pause / 2 + this.random.nextLong(pause);
	}

	/**
	 * The time between two calls of a daemon that doesn't watch.
	 * @return the time, ns
	 */
	long ofOthers() {
		long interval = this.times.retryAfter().toNanos();
		return interval + this.random.nextLong(interval / JITTER_DIVISOR);
	}

}
