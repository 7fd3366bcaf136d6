package org.bramleyscale.internal.gateway.request;

import java.time.Duration;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.catalog.Route;

/**
 * How long an endpoint may be silent before an attempt there counts as failed.
 *
 * <p>
 * Stateless and safe for use by multiple threads.
 */
final class SilenceTimeouts {

	/** Added to twice the predicted time of the first event to get its timeout. */
	private static final Duration FIRST_EVENT_SLACK = Duration.ofMillis(600);

	private static final Duration TARGET_SLACK = Duration.ofMillis(300);

	/**
	 * The shortest silence that counts as a failure: that of a sound endpoint, and the
	 * time until it would have sent its next event.
	 */
	private static final Duration MIN_SILENCE = Backend.LONGEST_SOUND_SILENCE.plusMillis(100);

	/**
	 * A silence of this many times the longest pause that callers accept counts as a
	 * failure.
	 */
	private static final int MAX_PAUSE_MULTIPLE = 4;

	/**
	 * Fraction of the caller timeout that an attempt may use. The caller gives up when
	 * the timeout ends, and a second endpoint needs the rest of it.
	 */
	private static final double CALLER_TIMEOUT_FRACTION = 0.7;

	/**
	 * Fraction of the time left that an attempt without events may use; a retry needs the
	 * other half.
	 */
	private static final double TIME_LEFT_FRACTION = 0.5;

	private static final double NANOS_PER_MILLI = 1_000_000;

	private SilenceTimeouts() {
	}

	/**
	 * Returns the timeout of a first event or of a complete response. After this time the
	 * endpoint is more likely to have lost the request than to be slow, and a second
	 * endpoint can still respond before the caller gives up.
	 * @param route the request's route
	 * @param predictedMillis the predicted time of the first event
	 * @param timeLeft the time left for the request
	 * @return the timeout
	 */
	static Duration ofFirstEvent(Route route, double predictedMillis, Duration timeLeft) {
		double predicted = 2 * predictedMillis + FIRST_EVENT_SLACK.toMillis();
		double target = 2 * route.targetLatency().toMillis() + TARGET_SLACK.toMillis();
		double limit = CALLER_TIMEOUT_FRACTION * route.callerTimeout().toMillis();
		if (!route.streaming()) {
			limit = TIME_LEFT_FRACTION * timeLeft.toMillis();
		}
		return Duration.ofNanos((long) (Math.min(Math.max(Math.max(predicted, target), MIN_SILENCE.toMillis()), limit)
				* NANOS_PER_MILLI));
	}

	/**
	 * Returns the timeout of each further event of a stream.
	 * @param route the request's route
	 * @return the timeout
	 */
	static Duration betweenEvents(Route route) {
		long longestSilence = Math.max(MIN_SILENCE.toMillis(), MAX_PAUSE_MULTIPLE * route.longestPause().toMillis());
		return Duration
			.ofMillis((long) Math.min(longestSilence, CALLER_TIMEOUT_FRACTION * route.callerTimeout().toMillis()));
	}

}
