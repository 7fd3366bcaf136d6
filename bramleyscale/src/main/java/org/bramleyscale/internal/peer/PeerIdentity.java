package org.bramleyscale.internal.peer;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;

/**
 * The identity, addresses and capacity of a daemon.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param incarnation the VM and start of the daemon
 * @param dataCentre the data centre of its VM
 * @param peerAddress {@code host:port} on which it listens for peers
 * @param httpAddress {@code host:port} on which it listens for callers
 * @param capacity the capacity of its VM
 */
public record PeerIdentity(Incarnation incarnation, DataCentre dataCentre, String peerAddress, String httpAddress,
		VmCapacity capacity) {

	public PeerIdentity {
		if (incarnation == null || dataCentre == null || peerAddress == null || httpAddress == null) {
			throw new IllegalArgumentException("peer identity must be complete, was " + incarnation + ", " + dataCentre
					+ ", " + peerAddress + ", " + httpAddress);
		}
		capacity = (capacity != null) ? capacity : VmCapacity.UNKNOWN;
	}

	/**
	 * Creates the identity of a daemon on a VM of unknown capacity.
	 * @param incarnation the VM and start of the daemon
	 * @param dataCentre the data centre of its VM
	 * @param peerAddress {@code host:port} on which it listens for peers
	 * @param httpAddress {@code host:port} on which it listens for callers
	 */
	public PeerIdentity(Incarnation incarnation, DataCentre dataCentre, String peerAddress, String httpAddress) {
		this(incarnation, dataCentre, peerAddress, httpAddress, VmCapacity.UNKNOWN);
	}

}
