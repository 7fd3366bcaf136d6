package org.bramleyscale.internal.request.attempt;

import java.time.Duration;

/**
 * How patient an attempt is.
 *
 * @param silence how long a stream that should bring something may bring nothing
 * @param gap how long a missing piece may still arrive on the open connection
 * @param resumePause the pause before another resume when one failed
 * @param resumes how many connections may follow one another without any progress
 * @param answerChars the longest answer that is kept, in characters
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
