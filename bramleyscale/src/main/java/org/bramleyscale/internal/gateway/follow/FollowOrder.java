package org.bramleyscale.internal.gateway.follow;

/**
 * The rank of a daemon in the order in which daemons query the store.
 *
 * <p>
 * Daemons may disagree on the order for a while; that costs additional calls or a late
 * check, and nothing else. Confined to the scheduler's thread.
 */
public interface FollowOrder {

	/**
	 * The number of daemons that come before this one.
	 * @return 0 for the first
	 */
	int rank();

	/**
	 * Whether no message of any peer has arrived for so long that none can be relied on.
	 * @return true if this daemon has to follow the store by itself
	 */
	boolean isolated();

	/**
	 * Whether there are other daemons, of which some query the store when copies get old.
	 * @return true if this daemon may expect that they confirm its copies
	 */
	default boolean hasPeers() {
		return false;
	}

}
