package org.bramleyscale.internal.endpoint;

/**
 * Spaces out acts that each follow at once from an event: the first goes at once, and the
 * pause doubles while the events keep coming.
 *
 * <p>
 * Without it an overloaded endpoint, where every refused request asks for more room,
 * would fill the control traffic with messages that change nothing. Confined to the
 * scheduler's thread.
 */
public final class Pacing {

	private static final long SHORTEST = 20_000_000;

	/** After a gap of so many pauses the next act goes at once again. */
	private static final long CALM_PAUSES = 4;

	private static final long NEVER = Long.MIN_VALUE / 2;

	private long lastAt = NEVER;

	private long pause = SHORTEST;

	/**
	 * How long the next act must wait.
	 * @param now the time
	 * @return nanoseconds; zero or negative if it may happen now
	 */
	public long waitNanos(long now) {
		return (this.lastAt == NEVER) ? 0 : this.lastAt + this.pause - now;
	}

	/**
	 * Notes an act.
	 * @param now the time
	 * @param longest the longest pause in nanoseconds
	 */
	public void acted(long now, long longest) {
		boolean calm = now - this.lastAt > CALM_PAUSES * this.pause;
		this.pause = calm ? SHORTEST : Math.max(SHORTEST, Math.min(longest, 2 * this.pause));
		this.lastAt = now;
	}

}
