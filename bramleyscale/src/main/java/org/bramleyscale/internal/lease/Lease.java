package org.bramleyscale.internal.lease;

/**
 * A lease held by this daemon, as seen by the job that it protects.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface Lease {

	/**
	 * The leased job's name.
	 * @return the name
	 */
	String name();

	/**
	 * The fencing number, which is greater for each later tenure.
	 * @return the number
	 */
	long number();

	/**
	 * Whether the lease is certainly still held, by the monotonic clock and less the
	 * safety margin. Must be checked immediately before each action that the lease
	 * protects.
	 * @return true if the holder may act
	 */
	boolean held();

}
