package org.bramleyscale.internal.gateway.node;

import java.util.Collection;
import java.util.OptionalInt;
import java.util.Set;

import org.bramleyscale.VmId;

/**
 * The state, besides membership, by which a daemon selects the addresses that it returns
 * to callers.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
interface FleetView {

	/** The list has no other VM. */
	int NO_OTHER_VM = -1;

	/**
	 * Whether this daemon knows the configuration and endpoints.
	 * @return false for a short time after its start
	 */
	boolean configured();

	/**
	 * The size class of the largest other VM on the platform's list, alive or not.
	 * @return the class, {@link #NO_OTHER_VM} if the list has no other VM, or empty if it
	 * hasn't been read yet
	 */
	OptionalInt largestListed();

	/**
	 * Whether a daemon has stopped sending although its connections stay open.
	 * @param vm the daemon's VM
	 * @return true if messages of it are overdue
	 */
	boolean unresponsive(VmId vm);

	/**
	 * Determines which of several daemons can't reach services that another of them
	 * reaches.
	 * @param daemons the daemons' VMs
	 * @return those that callers should not use; never all of them
	 */
	Set<VmId> cutOff(Collection<VmId> daemons);

	/**
	 * Whether this daemon has learnt which others are cut off.
	 * @return false for a short time after its start
	 */
	boolean informed();

	/**
	 * Returns how entry daemons are selected among those that respond.
	 * @return the selection, by the current relays
	 */
	EntrySelection selection();

	/**
	 * The number of active requests in the whole fleet.
	 * @return the number, as far as reported
	 */
	int activeRequests();

}
