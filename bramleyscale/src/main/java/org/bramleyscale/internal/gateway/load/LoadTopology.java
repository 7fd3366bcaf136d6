package org.bramleyscale.internal.gateway.load;

import java.util.Collection;

import org.bramleyscale.VmId;

/**
 * The daemons with which load is exchanged.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface LoadTopology {

	/**
	 * Whether the fleet is small enough for each daemon to send its updates to all
	 * others.
	 * @return true if it is
	 */
	boolean flat();

	boolean isRelay();

	/**
	 * The relays of this daemon's data centre.
	 * @return their VMs, without this daemon's own
	 */
	Collection<VmId> relays();

	/**
	 * The other daemons of this daemon's data centre.
	 * @return their VMs
	 */
	Collection<VmId> members();

	/**
	 * The relays of the other data centres.
	 * @return their VMs
	 */
	Collection<VmId> remoteRelays();

	/**
	 * The data centre of a daemon.
	 * @param vm the daemon's VM
	 * @return the data centre's name, or an empty string if the VM is unknown
	 */
	String dataCentre(VmId vm);

}
