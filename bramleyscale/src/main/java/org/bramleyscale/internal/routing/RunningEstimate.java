package org.bramleyscale.internal.routing;

/**
 * A running estimate of a positive quantity that a few wild samples can't carry away.
 *
 * <p>
 * Works on the logarithm, so being twice too high and twice too low weigh the same, and
 * clips each correction. Invariant: the value is 0 before the first sample and within the
 * bounds afterwards. Not safe for use by multiple threads.
 */
final class RunningEstimate {

	private static final double SMALLEST_GAIN = 0.1;

	private static final double LARGEST_CORRECTION = 1;

	private final double lowest;

	private final double highest;

	private double weight;

	private double value;

	RunningEstimate(double lowest, double highest) {
		this.lowest = lowest;
		this.highest = highest;
	}

	boolean known() {
		return this.value > 0;
	}

	double value() {
		return this.value;
	}

	/**
	 * Adds a sample.
	 * @param sample the sample
	 * @param trust how much it says about the quantity, from 0 to 1
	 */
	void add(double sample, double trust) {
		double bounded = Math.max(this.lowest, Math.min(this.highest, sample));
		if (!known()) {
			this.value = bounded;
			this.weight = trust;
			return;
		}
		this.weight += trust;
		double gain = trust * Math.max(SMALLEST_GAIN, 1 / this.weight);
		double correction = Math.log(bounded / this.value);
		double clipped = Math.max(-LARGEST_CORRECTION, Math.min(LARGEST_CORRECTION, correction));
		this.value *= Math.exp(Math.min(1, gain) * clipped);
	}

}
