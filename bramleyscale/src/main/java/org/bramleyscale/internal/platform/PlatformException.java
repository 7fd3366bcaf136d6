package org.bramleyscale.internal.platform;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;

/**
 * A call to the platform's object API that brought no result.
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
	 * What the caller knows about the call's effect.
	 */
	public enum Kind {

		/** Another version is stored; nothing was changed. */
		CONFLICT,

		/** The platform said that it is down or too busy; nothing was changed. */
		UNAVAILABLE,

		/** No reply came; the change may or may not have taken effect. */
		UNKNOWN_OUTCOME,

		/** The value exceeds the platform's limit; nothing was changed. */
		TOO_LARGE

	}

}
