package org.bramleyscale.internal.routing;

import java.util.Arrays;

/**
 * The second highest of the last samples: a lower bound that is nearly reached, with one
 * wild sample left out.
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
	 * The estimate.
	 * @return 0 before the first sample
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
