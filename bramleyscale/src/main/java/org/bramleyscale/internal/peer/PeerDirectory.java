package org.bramleyscale.internal.peer;

import java.util.Optional;
import java.util.Set;

import org.bramleyscale.VmId;

/**
 * Tells the network whom to connect to.
 *
 * <p>
 * Called on the scheduler's thread.
 */
public interface PeerDirectory {

	/**
	 * The VMs to keep a connection with.
	 * @return the VMs; this daemon's own is ignored
	 */
	Set<VmId> desiredPeers();

	/**
	 * Where a VM's daemon listens.
	 * @param vm the VM
	 * @return {@code host:port}, or empty if it isn't known
	 */
	Optional<String> address(VmId vm);

}
