package org.bramleyscale.internal.routing;

/**
 * Learns whether short prompts get past longer ones at the endpoints.
 *
 * <p>
 * Endpoints that honour priorities at each step let a short prompt pass a manual that is
 * being computed; those that only sort what hasn't begun let it wait to the end. Nothing
 * announces the difference, so it is taken for granted that priorities work until short
 * prompts come back late from endpoints with long ones. Not safe for use by multiple
 * threads.
 */
final class Blocking {

	/** A wait of so many steps can't come from the step that was under way. */
	private static final double LATE_STEPS = 8;

	/** A short prompt may also have met a few other short ones. */
	private static final double LATE_OWN_TIMES = 3;

	private static final double UPWARD_GAIN = 0.5;

	private static final double DOWNWARD_GAIN = 0.02;

	private double part;

	/**
	 * The part of short prompts that are held up.
	 * @return from 0 to 1
	 */
	double part() {
		return this.part;
	}

	void observed(double taken, double own, double step) {
		boolean late = taken > LATE_OWN_TIMES * own + LATE_STEPS * step;
		this.part += late ? UPWARD_GAIN * (1 - this.part) : -DOWNWARD_GAIN * this.part;
	}

}
