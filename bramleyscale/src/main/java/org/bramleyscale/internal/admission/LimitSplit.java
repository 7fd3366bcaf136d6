package org.bramleyscale.internal.admission;

import java.util.Arrays;

/**
 * Splits an account's limit among daemons by their demand (max-min fairness).
 *
 * <p>
 * Stateless.
 */
final class LimitSplit {

	private LimitSplit() {
	}

	/**
	 * Assigns each daemon its demand as far as the limit suffices, smaller demands first,
	 * and distributes the remainder evenly, so that rising demand doesn't have to wait
	 * for the next interval.
	 * @param limit the limit to split
	 * @param demands the demands
	 * @return the shares, which add up to the limit
	 */
	static double[] split(double limit, double[] demands) {
		double[] shares = new double[demands.length];
		double[] ascending = demands.clone();
		Arrays.sort(ascending);
		double remaining = limit;
		double level = 0;
		for (int i = 0; i < ascending.length; i++) {
			int unsatisfied = ascending.length - i;
			double step = Math.min(ascending[i] - level, remaining / unsatisfied);
			level += step;
			remaining -= step * unsatisfied;
		}
		double equalRemainder = remaining / Math.max(1, demands.length);
		for (int i = 0; i < demands.length; i++) {
			shares[i] = Math.min(demands[i], level) + equalRemainder;
		}
		return shares;
	}

}
