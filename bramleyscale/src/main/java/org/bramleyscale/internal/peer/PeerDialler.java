package org.bramleyscale.internal.peer;

import org.bramleyscale.VmId;

/**
 * Opens connections.
 *
 * <p>
 * Each dial ends in exactly one call of {@link PeerConnections#opened} or
 * {@link PeerConnections#dialFailed}, later and on the scheduler's thread.
 */
@FunctionalInterface
interface PeerDialler {

	/**
	 * Starts opening a connection.
	 * @param vm the VM expected at the address
	 * @param address {@code host:port}
	 * @param replacing whether the connection replaces one that became silent
	 */
	void dial(VmId vm, String address, boolean replacing);

}
