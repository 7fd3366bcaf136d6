package org.bramleyscale.internal.platform;

/**
 * Thrown if the platform has replied, and the reply can't be read.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
public class UnreadableReplyException extends PlatformException {

	private static final long serialVersionUID = 1L;

	public UnreadableReplyException(Kind kind, String message) {
		super(kind, message);
	}

}
