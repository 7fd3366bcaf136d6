package org.bramleyscale.internal.platform;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;

/**
 * Thrown if a call to the platform's object API failed or its outcome is unknown.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
public class PlatformException extends ServingException {

	private static final long serialVersionUID = 1L;

	private final Kind kind;

	public PlatformException(Kind kind, String message) {
		super((kind == Kind.CONFLICT) ? ErrorCode.CONFLICT : ErrorCode.PLATFORM_UNAVAILABLE,
				(kind == Kind.UNKNOWN_OUTCOME) ? Ran.UNKNOWN : Ran.NO, Step.PLATFORM, "platform", message);
		this.kind = kind;
	}

	public Kind kind() {
		return this.kind;
	}

	/**
	 * The kind of failure, which tells whether the call took effect.
	 */
	public enum Kind {

		/** The stored version isn't the expected one; nothing was changed. */
		CONFLICT,

		/**
		 * The platform was unreachable or overloaded, or a read failed; nothing was
		 * changed.
		 */
		UNAVAILABLE,

		/** No valid reply was received; the change may or may not have taken effect. */
		UNKNOWN_OUTCOME,

		/** The value exceeds the platform's limit; nothing was changed. */
		TOO_LARGE

	}

}
