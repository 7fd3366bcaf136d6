package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;

import org.bramleyscale.internal.endpoint.Observation;

/**
 * Learns one endpoint's speed and health from this entry's own attempts.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface EndpointLearner {

	/**
	 * Learns from one attempt.
	 * @param observation the outcome and timings of the attempt
	 * @param now the monotonic time in nanoseconds
	 */
	void observed(Observation observation, long now);

	/**
	 * Learns that an attempt has not returned its first token yet.
	 * @param waited how long ago the attempt was sent
	 * @param predicted the time to first token predicted when it was sent
	 */
	default void overdue(Duration waited, Duration predicted) {
	}

	/**
	 * Returns the learnt prefill speed.
	 * @return tokens a second, or 0 if unknown
	 */
	double prefillTokensPerSecond();

	/**
	 * Returns the learnt time between tokens.
	 * @return seconds, or 0 if unknown
	 */
	double stepSeconds();

	/**
	 * Returns by how much the endpoint recently answered later than predicted.
	 * @param now the monotonic time in nanoseconds
	 * @return seconds; never negative
	 */
	double penaltySeconds(long now);

	/**
	 * Returns whether the endpoint must not receive requests from this entry.
	 * @param now the monotonic time in nanoseconds
	 * @return true if it is ejected
	 */
	boolean ejected(long now);

	/**
	 * Returns whether the endpoint should receive few requests because it was recently
	 * ejected.
	 * @param now the monotonic time in nanoseconds
	 * @return true while it is being readmitted
	 */
	boolean readmitting(long now);

}
