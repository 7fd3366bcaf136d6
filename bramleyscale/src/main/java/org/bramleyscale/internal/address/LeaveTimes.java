package org.bramleyscale.internal.address;

import java.time.Duration;

/**
 * The times of a planned stop.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param keepFor how long callers keep address answers
 * @param spread how long the leaving mark takes to reach all daemons at most
 * @param linger how long the daemon stays once nothing is unfinished, so that a caller
 * that lost the end of its answer can still ask for it
 * @param limit after this long the daemon ends whatever is unfinished
 */
public record LeaveTimes(Duration keepFor, Duration spread, Duration linger, Duration limit) {

	private static final Duration DEFAULT_SPREAD = Duration.ofSeconds(3);

	private static final Duration DEFAULT_LINGER = Duration.ofSeconds(2);

	private static final Duration DEFAULT_LIMIT = Duration.ofMinutes(30);

	public LeaveTimes {
		if (limit.compareTo(keepFor.plus(spread).plus(linger)) <= 0) {
			throw new IllegalArgumentException("limit of a planned stop must exceed the "
					+ keepFor.plus(spread).plus(linger) + " for which callers keep addresses, was " + limit);
		}
	}

	/**
	 * The usual times.
	 * @param keepFor how long callers keep address answers
	 * @return the times
	 */
	public static LeaveTimes forKeptAddresses(Duration keepFor) {
		return new LeaveTimes(keepFor, DEFAULT_SPREAD, DEFAULT_LINGER, DEFAULT_LIMIT);
	}

}
