package org.bramleyscale.internal.request.attempt;

import java.time.Duration;

/**
 * The timeouts and bounds of one generation attempt.
 *
 * @param silence how long an active stream may send nothing before the attempt is resumed
 * @param gap how long to wait for a missing piece on the open connection
 * @param resumePause the back-off before the next resume after a failed one
 * @param resumes the maximum number of consecutive resumes without progress
 * @param answerChars the maximum length of an answer, in characters
 */
public record AttemptLimits(Duration silence, Duration gap, Duration resumePause, int resumes, int answerChars) {

	public AttemptLimits {
		if (silence.isNegative() || silence.isZero()) {
			throw new IllegalArgumentException("stream silence must be positive, was " + silence);
		}
		if (resumes < 1) {
			throw new IllegalArgumentException("resumes must be at least 1, was " + resumes);
		}
	}

}
