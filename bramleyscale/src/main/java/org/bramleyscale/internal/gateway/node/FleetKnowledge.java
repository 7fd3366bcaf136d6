package org.bramleyscale.internal.gateway.node;

import org.bramleyscale.VmId;

/**
 * What a daemon knows, beside its membership, when it names daemons to callers.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
interface FleetKnowledge {

	/**
	 * Whether this daemon knows the configuration and endpoints.
	 * @return false for a moment after its start
	 */
	boolean informed();

	/**
	 * Whether the platform's list names other VMs, be they alive or not.
	 * @return false if this daemon is the only one, or the list wasn't read yet
	 */
	boolean othersListed();

	/**
	 * Whether a daemon fell silent, though its connections stay open.
	 * @param vm the daemon's VM
	 * @return true if it should be heard and isn't
	 */
	boolean unheard(VmId vm);

	/**
	 * How to choose among daemons that answer.
	 * @return the choice, given who relays now
	 */
	EntrySelection selection();

	/**
	 * The requests under way in the whole fleet.
	 * @return the number, as far as told
	 */
	int underWay();

}
