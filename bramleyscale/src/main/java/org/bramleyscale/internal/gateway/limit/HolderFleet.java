package org.bramleyscale.internal.gateway.limit;

import java.util.List;
import java.util.Set;

import org.bramleyscale.VmId;

/**
 * The fleet as this daemon knows it, from which it derives its shares of what all daemons
 * divide.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface HolderFleet {

	/**
	 * The daemons that callers use.
	 * @return their VMs in an order that is the same on all daemons
	 */
	List<VmId> candidates();

	/**
	 * The number of daemons that callers would use if all registered ones responded.
	 * @return the number
	 */
	int possibleCandidates();

	/**
	 * The number of daemons that this one knows of, whether they respond or not, from the
	 * list of registered daemons or through others.
	 * @return the number, including this daemon
	 */
	int known();

	/**
	 * The number of registered daemons, whether they respond or not.
	 * @return the number, including this daemon, or 0 if it isn't known
	 */
	int registered();

	/**
	 * The number of registered daemons that this daemon reaches.
	 * @param heard the other daemons whose load updates arrive
	 * @return the number, including this daemon and those for which a relay stands
	 */
	int reached(Set<VmId> heard);

}
