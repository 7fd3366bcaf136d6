package org.bramleyscale.internal.gateway.follow;

/**
 * A daemon's place among those that could ask the store.
 *
 * <p>
 * Daemons may disagree for a while; that costs calls, or a check later than usual, and
 * nothing else. Confined to the scheduler's thread.
 */
public interface FollowOrder {

	/**
	 * How many daemons come before this one.
	 * @return 0 for the first
	 */
	int rank();

	/**
	 * Whether no peer has been heard for so long that none can be relied on.
	 * @return true if this daemon has to follow the store by itself
	 */
	boolean alone();

}
