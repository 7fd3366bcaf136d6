package org.bramleyscale.standins.platform;

import java.time.Duration;

/**
 * A fault to inject into calls of the platform.
 *
 * @param kind the kind of fault
 * @param operation the operation it applies to, or null for all
 * @param calls how many calls it applies to, or 0 for all until it is cleared
 * @param delay the delay of a slow call or reply; zero for the other kinds
 */
public record PlatformFault(Kind kind, PlatformOperation operation, int calls, Duration delay) {

	public PlatformFault {
		if (kind == null) {
			throw new IllegalArgumentException("kind must not be null");
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

	public PlatformFault withDelay(Duration delay) {
		return new PlatformFault(this.kind, this.operation, this.calls, delay);
	}

	boolean appliesTo(PlatformOperation operation) {
		return this.operation == null || this.operation == operation;
	}

	/**
	 * The kinds of faults.
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

		/** A write or delete fails with a conflict whatever version it expects. */
		CONFLICT,

		/** A watch reports a gap, as if changes had been lost. */
		GAP

	}

}
