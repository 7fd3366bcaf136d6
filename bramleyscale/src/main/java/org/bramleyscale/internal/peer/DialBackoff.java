package org.bramleyscale.internal.peer;

import java.util.random.RandomGenerator;

/**
 * Computes the exponential back-off with jitter between failed dials to one VM.
 *
 * <p>
 * Without jitter, all daemons that lost their connection to one VM at the same time would
 * retry at the same times. Confined to the scheduler's thread.
 */
final class DialBackoff {

	private static final double MIN_JITTER_FACTOR = 0.5;

	private static final int MAX_DOUBLINGS = 16;

	private final long minNanos;

	private final long maxNanos;

	private final RandomGenerator random;

	DialBackoff(PeerTimings timings, RandomGenerator random) {
		this.minNanos = timings.minBackoff().toNanos();
		this.maxNanos = timings.maxBackoff().toNanos();
		this.random = random;
	}

	/**
	 * Returns the delay before the next dial.
	 * @param failures the number of consecutive failed dials, at least 1
	 * @return the delay in nanoseconds
	 */
	long delayNanos(int failures) {
		int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
		long fullDelay = Math.min(this.maxNanos, this.minNanos << doublings);
		return (long) (fullDelay * this.random.nextDouble(MIN_JITTER_FACTOR, 1));
	}

}
