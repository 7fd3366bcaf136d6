package org.bramleyscale.internal.lease;

/**
 * A lease as its holder sees it.
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
	 * The fencing number; greater for each later holder.
	 * @return the number
	 */
	long number();

	/**
	 * Whether the lease is certainly still held, by the monotonic clock and with a
	 * margin. Must be asked just before each act under the lease.
	 * @return true if the holder may act
	 */
	boolean held();

}
