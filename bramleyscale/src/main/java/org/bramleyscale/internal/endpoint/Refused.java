package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The engine doesn't hold the memory and won't unless asked anew.
 *
 * @param endpoint the engine
 * @param hold the hold's id
 * @param reason why
 */
public record Refused(EndpointId endpoint, String hold, Reason reason) implements PeerMessage {

	/**
	 * Why memory isn't held.
	 */
	public enum Reason {

		/** The engine never has so much for one hold. */
		TOO_LARGE,

		/** Too many wait already, or the engine is leaving. */
		BUSY,

		/** It was held, but the engine lost it or it was released. */
		LOST

	}

}
