package org.bramleyscale.internal.admission;

import java.util.Arrays;

/**
 * Splits an account's limit among entries by their demand.
 *
 * <p>
 * Stateless.
 */
final class LimitSplit {

	private LimitSplit() {
	}

	/**
	 * Gives each entry its demand as far as the limit reaches, smaller demands first, and
	 * spreads what is left evenly, so that a rising demand needn't wait for the next
	 * round.
	 * @param limit the limit to split
	 * @param demands the demands
	 * @return the shares, which add up to the limit
	 */
	static double[] split(double limit, double[] demands) {
		double[] shares = new double[demands.length];
		double[] ascending = demands.clone();
		Arrays.sort(ascending);
		double left = limit;
		double level = 0;
		for (int i = 0; i < ascending.length; i++) {
			int sharing = ascending.length - i;
			double step = Math.min(ascending[i] - level, left / sharing);
			level += step;
			left -= step * sharing;
		}
		double spare = left / Math.max(1, demands.length);
		for (int i = 0; i < demands.length; i++) {
			shares[i] = Math.min(demands[i], level) + spare;
		}
		return shares;
	}

}
