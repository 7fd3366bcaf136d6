package org.bramleyscale.internal.peer;

import java.util.random.RandomGenerator;

/**
 * The growing pause between failed dials to one VM.
 *
 * <p>
 * Jitter spreads the dials; without it all daemons that lost one VM at the same moment
 * would dial it again at the same moments. Confined to the scheduler's thread.
 */
final class DialBackoff {

	private static final double LEAST_SHARE = 0.5;

	private static final int MOST_DOUBLINGS = 16;

	private final long shortest;

	private final long longest;

	private final RandomGenerator random;

	DialBackoff(PeerTimes times, RandomGenerator random) {
		this.shortest = times.shortestBackoff().toNanos();
		this.longest = times.longestBackoff().toNanos();
		this.random = random;
	}

	/**
	 * How long to wait before the next dial.
	 * @param failures failed dials in a row, at least 1
	 * @return nanoseconds
	 */
	long pause(int failures) {
		int doublings = Math.min(failures - 1, MOST_DOUBLINGS);
		long full = Math.min(this.longest, this.shortest << doublings);
		return (long) (full * this.random.nextDouble(LEAST_SHARE, 1));
	}

}
