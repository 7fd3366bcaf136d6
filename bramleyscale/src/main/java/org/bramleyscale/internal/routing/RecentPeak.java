package org.bramleyscale.internal.routing;

import java.util.Arrays;

/**
 * The second highest of the most recent samples, as a peak estimate that ignores one
 * outlier.
 *
 * <p>
 * Not safe for use by multiple threads.
 */
final class RecentPeak {

	private static final int WINDOW = 12;

	private final double[] samples = new double[WINDOW];

	private int count;

	private double value;

	int count() {
		return Math.min(this.count, WINDOW);
	}

	/**
	 * Returns the estimate.
	 * @return the second highest sample, the only one if there is one, or 0 if there is
	 * none
	 */
	double value() {
		return this.value;
	}

	void add(double sample) {
		this.samples[this.count % WINDOW] = sample;
		this.count++;
		double[] sorted = Arrays.copyOf(this.samples, count());
		Arrays.sort(sorted);
		this.value = sorted[Math.max(0, sorted.length - 2)];
	}

}
