package org.bramleyscale.internal.gateway.load;

import java.util.Collection;

import org.bramleyscale.VmId;

/**
 * Who tells whom about work.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface LoadRoutes {

	/**
	 * Whether the fleet is small enough for all to tell all.
	 * @return true if it is
	 */
	boolean flat();

	boolean isRelay();

	/**
	 * The relays of the own data centre.
	 * @return their VMs without this daemon's own
	 */
	Collection<VmId> relays();

	/**
	 * The other daemons of the own data centre.
	 * @return their VMs
	 */
	Collection<VmId> near();

	/**
	 * The relays of the other data centres.
	 * @return their VMs
	 */
	Collection<VmId> remoteRelays();

	/**
	 * Where a daemon runs.
	 * @param vm its VM
	 * @return the data centre's name, or an empty text if the VM isn't known
	 */
	String dataCentre(VmId vm);

}
