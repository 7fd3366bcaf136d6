package org.bramleyscale.internal.endpoint;

/**
 * Limits the rate of event-driven messages by exponential back-off: the first message is
 * sent at once, and the pause doubles while events continue.
 *
 * <p>
 * Without this limit an overloaded endpoint, where every refused request demands more
 * capacity, would flood the control traffic with messages that change nothing. Confined
 * to the scheduler's thread.
 */
public final class SendBackoff {

	private static final long MIN_PAUSE_NANOS = 20_000_000;

	/** The gap, in multiples of the current pause, after which the pause is reset. */
	private static final long RESET_AFTER_PAUSES = 4;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long lastAt = NEVER;

	private long pause = MIN_PAUSE_NANOS;

	/**
	 * Returns how long the next message must wait.
	 * @param now the time in nanoseconds
	 * @return the wait in nanoseconds; zero or negative if it may be sent now
	 */
	public long waitNanos(long now) {
		return (this.lastAt == NEVER) ? 0 : this.lastAt + this.pause - now;
	}

	/**
	 * Records that a message was sent.
	 * @param now the time in nanoseconds
	 * @param longest the longest pause in nanoseconds
	 */
	public void recordSend(long now, long longest) {
		boolean reset = now - this.lastAt > RESET_AFTER_PAUSES * this.pause;
		this.pause = reset ? MIN_PAUSE_NANOS : Math.max(MIN_PAUSE_NANOS, Math.min(longest, 2 * this.pause));
		this.lastAt = now;
	}

}
