package org.bramleyscale.internal.peer;

import java.util.Optional;
import java.util.Set;

import org.bramleyscale.VmId;

/**
 * Provides the peers to connect to and their addresses.
 *
 * <p>
 * Called on the scheduler's thread.
 */
public interface PeerDirectory {

	/**
	 * Returns the VMs to keep a connection with.
	 * @return the VMs; this daemon's own is ignored
	 */
	Set<VmId> desiredPeers();

	/**
	 * Returns the address on which a VM's daemon listens for peers.
	 * @param vm the VM
	 * @return {@code host:port}, or empty if it is unknown
	 */
	Optional<String> address(VmId vm);

}
