package org.bramleyscale.internal.membership;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.VmCapacity;

/**
 * A daemon of the fleet as seen by this daemon.
 *
 * @param incarnation the latest start known
 * @param dataCentre the data centre in which it runs
 * @param peerAddress {@code host:port} for peers
 * @param httpAddress {@code host:port} for callers
 * @param state its state
 * @param capacity the capacity of its VM
 */
public record Member(Incarnation incarnation, DataCentre dataCentre, String peerAddress, String httpAddress,
		State state, VmCapacity capacity) {

	/**
	 * Creates a member on a VM of unknown capacity.
	 * @param incarnation the latest start known
	 * @param dataCentre the data centre in which it runs
	 * @param peerAddress {@code host:port} for peers
	 * @param httpAddress {@code host:port} for callers
	 * @param state its state
	 */
	public Member(Incarnation incarnation, DataCentre dataCentre, String peerAddress, String httpAddress, State state) {
		this(incarnation, dataCentre, peerAddress, httpAddress, state, VmCapacity.UNKNOWN);
	}

	public VmId vm() {
		return this.incarnation.vm();
	}

	/**
	 * The states, in the order in which a member passes through them.
	 */
	public enum State {

		/** It is responsive. */
		ALIVE,

		/**
		 * Its heartbeats have been missing recently; it receives work but isn't relied
		 * on.
		 */
		SUSPECT,

		/** It completes its current work and accepts no new work. */
		LEAVING,

		/** It has been unresponsive for long, or a later start of it is known. */
		DEAD

	}

}
