package org.bramleyscale.internal.gateway.follow;

import java.util.Collection;

import org.bramleyscale.VmId;

/**
 * To whom a daemon passes on what is new in the store.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface NewsRoutes {

	/**
	 * Those who get what this daemon read itself.
	 * @return their VMs
	 */
	Collection<VmId> firstHand();

	/**
	 * Those who get what a peer told, so that it reaches every daemon.
	 * @param from the peer
	 * @return their VMs
	 */
	Collection<VmId> passedOn(VmId from);

}
