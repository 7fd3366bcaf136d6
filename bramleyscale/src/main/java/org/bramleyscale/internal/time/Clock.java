package org.bramleyscale.internal.time;

import java.time.Instant;

/**
 * A source of monotonic time and of the time of day.
 *
 * <p>
 * {@link #nanos()} never steps and is the only source for expiry and deadlines.
 * {@link #wallTime()} may step and is only for display. Implementations are safe for use
 * by multiple threads.
 */
public interface Clock {

	/**
	 * The monotonic time.
	 * @return nanoseconds since an arbitrary origin
	 */
	long nanos();

	/**
	 * The time of day.
	 * @return the time of day, which may step in either direction
	 */
	Instant wallTime();

}
