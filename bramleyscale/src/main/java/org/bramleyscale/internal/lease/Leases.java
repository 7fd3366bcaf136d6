package org.bramleyscale.internal.lease;

import java.util.Optional;

/**
 * Leases that this daemon holds or tries to acquire.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface Leases {

	/**
	 * Starts trying to acquire a lease, renews it while held, and tries to acquire it
	 * again when lost.
	 * @param name the job's name
	 * @param listener notified when the lease is acquired or lost
	 */
	void acquire(String name, LeaseListener listener);

	/**
	 * Stops trying to acquire a lease, and releases it if held.
	 * @param name the job's name
	 */
	void release(String name);

	Optional<Lease> lease(String name);

	/**
	 * Notified on the scheduler's thread when a lease is acquired or lost.
	 */
	interface LeaseListener {

		void acquired(Lease lease);

		/**
		 * Called when the lease expired, was superseded or was released; no action that
		 * it protects may start any more.
		 * @param lease the lease
		 */
		void lost(Lease lease);

	}

}
