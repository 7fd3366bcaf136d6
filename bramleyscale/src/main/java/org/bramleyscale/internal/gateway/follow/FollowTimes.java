package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;

/**
 * How closely a fleet follows the store.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param watch how long the store may hold a watch. A connection that has gone silent is
 * noticed at its end at the latest, and each watch that ends unchanged costs a call.
 * @param gather how long after a change a watcher waits before it asks again: endpoints
 * that register or leave one by one would otherwise cost a call each and a watcher
 * @param checkAfter a daemon that doesn't watch asks by itself once the newest news of
 * the store, its own or a peer's, are older than this
 * @param askAgain a daemon that doesn't watch asks a store that has failed it again so
 * long after its last call, or up to an eighth later
 */
public record FollowTimes(Duration watch, Duration gather, Duration checkAfter, Duration askAgain) {

	private static final Duration WATCH = Duration.ofSeconds(5);

	private static final Duration GATHER = Duration.ofMillis(200);

	/** For objects of which daemons tell each other the gist by themselves. */
	public static final FollowTimes LOOSELY = new FollowTimes(Duration.ofSeconds(20), GATHER, Duration.ofSeconds(30),
			Duration.ofSeconds(4));

	/** Half of the time is for asking, the rest for spreading and a lost call. */
	private static final int CHECKS_WITHIN = 2;

	/**
	 * Makes the times for what is asked of the fleet.
	 * @param changeWithin the time within which a change must be in force
	 * @return the times
	 */
	public static FollowTimes within(Duration changeWithin) {
		if (changeWithin.isNegative() || changeWithin.isZero()) {
			throw new IllegalArgumentException("changeWithin must be positive, was " + changeWithin);
		}
		return new FollowTimes(WATCH, GATHER, changeWithin.dividedBy(CHECKS_WITHIN), changeWithin);
	}

}
