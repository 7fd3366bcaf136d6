package org.bramleyscale.internal.lease;

import java.util.Optional;

/**
 * Leases that this daemon holds or seeks.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface Leases {

	/**
	 * Seeks a lease from now on, renews it when taken, and seeks it again when lost.
	 * @param name the job's name
	 * @param listener told when it is taken and lost
	 */
	void seek(String name, LeaseListener listener);

	/**
	 * Stops seeking and gives the lease back if held.
	 * @param name the job's name
	 */
	void release(String name);

	Optional<Lease> lease(String name);

	/**
	 * Told of a lease's coming and going, on the scheduler's thread.
	 */
	interface LeaseListener {

		void taken(Lease lease);

		/**
		 * The lease lapsed, was lost or was given back; no act under it may begin.
		 * @param lease the lease
		 */
		void lost(Lease lease);

	}

}
