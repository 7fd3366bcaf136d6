package org.bramleyscale.internal.peer;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;

/**
 * Thrown when bytes from another daemon violate the peer protocol.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
public class PeerProtocolException extends ServingException {

	private static final long serialVersionUID = 1L;

	private final Kind kind;

	public PeerProtocolException(Kind kind, String peer, String message) {
		super(ErrorCode.BAD_REQUEST, Ran.NO, Step.RECEIVE, peer, message);
		this.kind = kind;
	}

	public Kind kind() {
		return this.kind;
	}

	/**
	 * The kind of violation.
	 */
	public enum Kind {

		/** The bytes are not a frame of this protocol. */
		MALFORMED,

		/** The bytes belong to another version of the protocol. */
		WRONG_VERSION,

		/** The sender doesn't hold the shared key. */
		WRONG_KEY

	}

}
