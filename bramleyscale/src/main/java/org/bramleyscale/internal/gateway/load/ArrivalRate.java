package org.bramleyscale.internal.gateway.load;

/**
 * The work that arrived in the last second.
 *
 * <p>
 * It is kept in intervals of a tenth of a second, so that its cost doesn't grow with the
 * number of requests. Confined to the scheduler's thread.
 */
final class ArrivalRate {

	private static final int INTERVALS = 10;

	private static final long INTERVAL_NANOS = 100_000_000;

	private final double[] millis = new double[INTERVALS];

	private long current;

	/**
	 * Records work that arrives now.
	 * @param workMillis the work, ms
	 * @param now the time
	 */
	void add(double workMillis, long now) {
		advance(now);
		this.millis[(int) Math.floorMod(this.current, INTERVALS)] += workMillis;
	}

	/**
	 * The work that arrived in the second before now.
	 * @param now the time
	 * @return the work, ms
	 */
	double millisInLastSecond(long now) {
		advance(now);
		double sum = 0;
		for (double interval : this.millis) {
			sum += interval;
		}
		return sum;
	}

	private void advance(long now) {
		long interval = Math.floorDiv(now, INTERVAL_NANOS);
		for (long i = Math.max(this.current + 1, interval - INTERVALS + 1); i <= interval; i++) {
			this.millis[(int) Math.floorMod(i, INTERVALS)] = 0;
		}
		this.current = Math.max(this.current, interval);
	}

}
