package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;

/**
 * The timeouts and intervals by which a fleet follows the store.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param watch how long the store may hold a watch. A connection that has gone silent is
 * detected at the end of the watch at the latest, and each watch that ends without a
 * change costs a call.
 * @param coalesce how long after a change a watcher waits before its next call: endpoints
 * that register or leave one by one would otherwise cost a call each and per watcher
 * @param checkAfter a daemon that doesn't watch queries the store itself once the latest
 * confirmation by the store, received directly or from a peer, is older than this
 * @param retryAfter a daemon that doesn't watch retries a failed call this long after the
 * start of that call, or up to an eighth later
 */
public record FollowTimes(Duration watch, Duration coalesce, Duration checkAfter, Duration retryAfter) {

	private static final Duration WATCH = Duration.ofSeconds(5);

	private static final Duration COALESCE = Duration.ofMillis(200);

	/** For objects whose essential content daemons also exchange by other messages. */
	public static final FollowTimes RELAXED = new FollowTimes(Duration.ofSeconds(20), COALESCE, Duration.ofSeconds(30),
			Duration.ofSeconds(4));

	/** How much later each next rank queries, since updates need some ms to propagate. */
	private static final Duration RANK_DELAY = Duration.ofMillis(100);

	/**
	 * The most delays added; daemons of higher ranks query together, which bounds the age
	 * of copies.
	 */
	private static final int MAX_RANK_DELAYS = 8;

	/** Half of the bound is for the check, the rest for propagation and a lost call. */
	private static final int CHECKS_PER_BOUND = 2;

	/**
	 * Returns the times that meet a bound on the propagation of changes.
	 * @param propagationLimit the time within which a change must be in force
	 * @return the times
	 */
	public static FollowTimes within(Duration propagationLimit) {
		if (propagationLimit.isNegative() || propagationLimit.isZero()) {
			throw new IllegalArgumentException("propagationLimit must be positive, was " + propagationLimit);
		}
		return new FollowTimes(WATCH, COALESCE, propagationLimit.dividedBy(CHECKS_PER_BOUND), propagationLimit);
	}

	/**
	 * How old copies get before a daemon that doesn't watch queries the store.
	 * @param rank its rank among the daemons that don't watch
	 * @return the age
	 */
	Duration checkDelay(int rank) {
		return this.checkAfter.plus(RANK_DELAY.multipliedBy(Math.max(0, Math.min(MAX_RANK_DELAYS, rank))));
	}

	/**
	 * How old copies get before each daemon queries the store.
	 * @return the age
	 */
	Duration longestCheckDelay() {
		return checkDelay(MAX_RANK_DELAYS);
	}

}
