package org.bramleyscale.internal.peer;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;

/**
 * Who a daemon is and where it can be reached.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param incarnation its VM and start
 * @param dataCentre where it runs
 * @param peerAddress {@code host:port} on which it listens for peers
 * @param httpAddress {@code host:port} on which it listens for callers
 * @param capacity how large its VM is
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
	 * Makes the identity of a daemon on a VM of unknown size.
	 * @param incarnation its VM and start
	 * @param dataCentre where it runs
	 * @param peerAddress {@code host:port} on which it listens for peers
	 * @param httpAddress {@code host:port} on which it listens for callers
	 */
	public PeerIdentity(Incarnation incarnation, DataCentre dataCentre, String peerAddress, String httpAddress) {
		this(incarnation, dataCentre, peerAddress, httpAddress, VmCapacity.UNKNOWN);
	}

}
