package org.bramleyscale.internal.address;

import java.time.Duration;

/**
 * Durations of a planned stop.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param keepFor how long callers cache address answers
 * @param propagation the maximum time for the leaving mark to reach all daemons
 * @param linger how long the daemon keeps running after the last request has ended, so
 * that a caller that lost the end of its answer can still fetch it
 * @param limit the time after which the daemon shuts down even with requests unfinished
 */
public record LeaveTimes(Duration keepFor, Duration propagation, Duration linger, Duration limit) {

	private static final Duration DEFAULT_PROPAGATION = Duration.ofSeconds(3);

	private static final Duration DEFAULT_LINGER = Duration.ofSeconds(2);

	private static final Duration DEFAULT_LIMIT = Duration.ofMinutes(30);

	public LeaveTimes {
		if (limit.compareTo(keepFor.plus(propagation).plus(linger)) <= 0) {
			throw new IllegalArgumentException(
					"limit of a planned stop must exceed the " + keepFor.plus(propagation).plus(linger)
							+ " of address caching, propagation and linger time, was " + limit);
		}
	}

	/**
	 * The default durations for a given cache time of address answers.
	 * @param keepFor how long callers cache address answers
	 * @return the durations
	 */
	public static LeaveTimes forCacheTime(Duration keepFor) {
		return new LeaveTimes(keepFor, DEFAULT_PROPAGATION, DEFAULT_LINGER, DEFAULT_LIMIT);
	}

}
