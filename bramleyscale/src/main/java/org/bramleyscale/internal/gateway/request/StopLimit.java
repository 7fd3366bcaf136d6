package org.bramleyscale.internal.gateway.request;

import java.time.Duration;

/**
 * Decides until when a request that no endpoint has may wait at a daemon that stops.
 *
 * <p>
 * Invariant: a caller that would wait for longer than the daemon lives is sent elsewhere
 * with at least half of the time that it had when the stop began. Confined to the
 * scheduler's thread.
 */
final class StopLimit {

	/** The share of its caller's time for which a request waits during a stop. */
	private static final double MAX_WAIT_SHARE = 0.5;

	private final Duration answerTime;

	private Duration leftAtStop;

	/**
	 * Creates a limit for a request.
	 * @param answerTime the expected time from its sending to the end of its response
	 */
	StopLimit(Duration answerTime) {
		this.answerTime = answerTime;
	}

	/**
	 * Whether the request is to be refused now.
	 * @param left the time left for it
	 * @param untilExit the time until the daemon exits
	 * @return false if the daemon lives as long as its caller waits, or may still answer
	 * it
	 */
	boolean reached(Duration left, Duration untilExit) {
		if (this.leftAtStop == null) {
			this.leftAtStop = left;
		}
		if (left.compareTo(untilExit) <= 0) {
			return false;
		}
		boolean answerable = this.answerTime.compareTo(untilExit) < 0;
		return !answerable || left.toNanos() < (1 - MAX_WAIT_SHARE) * this.leftAtStop.toNanos();
	}

}
