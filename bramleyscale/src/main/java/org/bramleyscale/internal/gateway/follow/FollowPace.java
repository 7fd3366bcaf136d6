package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;

/**
 * How closely a daemon follows the store.
 *
 * <p>
 * Each change answers the watches of all daemons that wait for one, and each of them asks
 * anew; in a fleet of 76 daemons with 72 endpoints that register one by one, that is
 * 5,500 calls. So in a large fleet only relays follow closely, and the others learn what
 * is new from them. Immutable and safe for use by multiple threads.
 *
 * @param watch how long the store may hold a watch
 * @param pause how long after a change the next watch begins
 */
public record FollowPace(Duration watch, Duration pause) {

	/**
	 * For daemons that others depend on. A connection that has gone silent is noticed
	 * only at the end of the watch, and a change must be in force within two seconds of
	 * it, so the watch is not much longer; each halving doubles the calls.
	 */
	public static final FollowPace CLOSE = new FollowPace(Duration.ofMillis(2_500), Duration.ZERO);

	/**
	 * For daemons that relays tell of changes every 400 ms. Their own watch is for the
	 * case that no relay hears the store: the pause is a third of the time within which a
	 * change must be in force in large fleets, and the watch two thirds of the longest
	 * that a store allows.
	 */
	public static final FollowPace LOOSE = new FollowPace(Duration.ofSeconds(20), Duration.ofSeconds(1));

}
