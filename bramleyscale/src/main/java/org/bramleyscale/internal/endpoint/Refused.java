package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The answer that the engine doesn't hold the memory and won't unless a new request is
 * made.
 *
 * @param endpoint the engine
 * @param hold the hold's id
 * @param reason the reason for the refusal
 */
public record Refused(EndpointId endpoint, String hold, Reason reason) implements PeerMessage {

	/**
	 * The reason why memory isn't held.
	 */
	public enum Reason {

		/** The amount exceeds what the engine can provide for one hold. */
		TOO_LARGE,

		/** Too many holds are waiting, or the engine is leaving. */
		BUSY,

		/** The memory was held, but the engine lost it or it was released. */
		LOST

	}

}
