package org.bramleyscale.standins.platform;

import java.time.Duration;

/**
 * One fault of the platform, as it is ordered.
 *
 * @param kind what goes wrong
 * @param operation the operation it strikes, or null for all
 * @param calls how many calls it strikes, or 0 for all until it is cleared
 * @param delay how long a slow call takes; zero for the other kinds
 */
public record PlatformFault(Kind kind, PlatformOperation operation, int calls, Duration delay) {

	public PlatformFault {
		if (kind == null) {
			throw new IllegalArgumentException("fault needs a kind");
		}
		if (calls < 0) {
			throw new IllegalArgumentException("calls must not be negative, was " + calls);
		}
		if (delay == null || delay.isNegative()) {
			throw new IllegalArgumentException("delay must not be negative, was " + delay);
		}
	}

	public static PlatformFault of(Kind kind) {
		return new PlatformFault(kind, null, 0, Duration.ZERO);
	}

	public PlatformFault on(PlatformOperation operation) {
		return new PlatformFault(this.kind, operation, this.calls, this.delay);
	}

	public PlatformFault times(int calls) {
		return new PlatformFault(this.kind, this.operation, calls, this.delay);
	}

	public PlatformFault by(Duration delay) {
		return new PlatformFault(this.kind, this.operation, this.calls, delay);
	}

	boolean strikes(PlatformOperation operation) {
		return this.operation == null || this.operation == operation;
	}

	/**
	 * What can go wrong.
	 */
	public enum Kind {

		/** The call is refused as unavailable. */
		DOWN,

		/** The call never arrives and no reply comes. */
		SILENT,

		/** The call takes effect after the delay. */
		SLOW,

		/** The call takes effect at once and the reply comes after the delay. */
		SLOW_REPLY,

		/** The call takes effect and no reply comes. */
		LOST_REPLY,

		/** A write or delete conflicts whatever version it expects. */
		CONFLICT,

		/** A watch has lost changes. */
		GAP

	}

}
