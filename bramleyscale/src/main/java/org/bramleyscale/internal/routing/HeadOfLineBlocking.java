package org.bramleyscale.internal.routing;

/**
 * Estimates how often longer prompts block short ones at the endpoints of a pool.
 *
 * <p>
 * Endpoints that apply priorities at each step schedule a short prompt ahead of a long
 * prompt in prefill; endpoints that only sort their queue make it wait until the long
 * prompt is complete. Endpoints don't report which of the two they do, so priorities are
 * assumed to work until first tokens of short prompts arrive late from endpoints of
 * longer ones. Not safe for use by multiple threads.
 */
final class HeadOfLineBlocking {

	/** A wait of this many steps can't be caused by the step that was in progress. */
	private static final double LATE_MARGIN_STEPS = 8;

	/** Allows for a few other short prompts ahead of the observed one. */
	private static final double LATE_PREFILL_MULTIPLE = 3;

	private static final double UPWARD_GAIN = 0.5;

	private static final double DOWNWARD_GAIN = 0.02;

	private double blockedFraction;

	/**
	 * Returns the fraction of short prompts that are blocked by longer ones.
	 * @return from 0 to 1
	 */
	double blockedFraction() {
		return this.blockedFraction;
	}

	/**
	 * Adds a short prompt that was sent to an endpoint of longer prompts.
	 * @param firstToken its time to first token, in seconds
	 * @param prefill the time that its own prefill takes, in seconds
	 * @param step the usual time between tokens, in seconds
	 */
	void observe(double firstToken, double prefill, double step) {
		boolean late = firstToken > LATE_PREFILL_MULTIPLE * prefill + LATE_MARGIN_STEPS * step;
		this.blockedFraction += late ? UPWARD_GAIN * (1 - this.blockedFraction) : -DOWNWARD_GAIN * this.blockedFraction;
	}

}
