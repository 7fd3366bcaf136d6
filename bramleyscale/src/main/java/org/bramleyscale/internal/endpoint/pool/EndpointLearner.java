package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;

import org.bramleyscale.internal.endpoint.Observation;

/**
 * What an entry learns of one endpoint's speed and health from its own attempts.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface EndpointLearner {

	/**
	 * Learns from one attempt.
	 * @param observation what was seen
	 * @param now the monotonic time in nanoseconds
	 */
	void observed(Observation observation, long now);

	/**
	 * Learns that an attempt has brought no first token yet.
	 * @param waited how long the attempt has been there
	 * @param predicted the time to first token predicted at sending
	 */
	default void overdue(Duration waited, Duration predicted) {
	}

	/**
	 * The learnt speed of prompt computation.
	 * @return tokens a second, or 0 if unknown
	 */
	double prefillTokensPerSecond();

	/**
	 * The learnt time between tokens.
	 * @return seconds, or 0 if unknown
	 */
	double stepSeconds();

	/**
	 * By how much the endpoint lately answered later than predicted.
	 * @param now the monotonic time in nanoseconds
	 * @return seconds; never negative
	 */
	double penaltySeconds(long now);

	/**
	 * Whether the endpoint must get no work from this entry.
	 * @param now the monotonic time in nanoseconds
	 * @return true if it is ejected
	 */
	boolean ejected(long now);

	/**
	 * Whether the endpoint should get little work, having been ejected lately.
	 * @param now the monotonic time in nanoseconds
	 * @return true while it is being re-admitted
	 */
	boolean readmitting(long now);

}
