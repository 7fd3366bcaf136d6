package org.bramleyscale.internal.membership;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;

/**
 * One daemon as this daemon sees it.
 *
 * @param incarnation the latest start seen
 * @param dataCentre where it runs
 * @param peerAddress {@code host:port} for peers
 * @param httpAddress {@code host:port} for callers
 * @param state what is known of it
 */
public record Member(Incarnation incarnation, DataCentre dataCentre, String peerAddress, String httpAddress,
		State state) {

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
