package org.bramleyscale.internal.membership;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.VmCapacity;

/**
 * One daemon as this daemon sees it.
 *
 * @param incarnation the latest start seen
 * @param dataCentre where it runs
 * @param peerAddress {@code host:port} for peers
 * @param httpAddress {@code host:port} for callers
 * @param state what is known of it
 * @param capacity how large its VM is
 */
public record Member(Incarnation incarnation, DataCentre dataCentre, String peerAddress, String httpAddress,
		State state, VmCapacity capacity) {

	/**
	 * Makes a member on a VM of unknown size.
	 * @param incarnation the latest start seen
	 * @param dataCentre where it runs
	 * @param peerAddress {@code host:port} for peers
	 * @param httpAddress {@code host:port} for callers
	 * @param state what is known of it
	 */
	public Member(Incarnation incarnation, DataCentre dataCentre, String peerAddress, String httpAddress, State state) {
		this(incarnation, dataCentre, peerAddress, httpAddress, state, VmCapacity.UNKNOWN);
	}

	public VmId vm() {
		return this.incarnation.vm();
	}

	/**
	 * States in the order in which a member passes them.
	 */
	public enum State {

		/** It answers. */
		ALIVE,

		/** It lately missed heartbeats; it gets work but isn't relied on. */
		SUSPECT,

		/** It finishes what it has and takes nothing new. */
		LEAVING,

		/** It has been silent for long, or a later start of it was seen. */
		DEAD

	}

}
