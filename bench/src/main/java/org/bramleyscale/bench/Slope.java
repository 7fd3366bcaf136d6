package org.bramleyscale.bench;

import java.util.Map;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * A line fitted to measured costs at several sizes by least squares.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param fixed the cost at size 0
 * @param perUnit what one more unit of size costs
 * @param fit the coefficient of determination, 1 if all points lie on the line
 */
public record Slope(double fixed, double perUnit, double fit) {

	/**
	 * Fits a line.
	 * @param costs the cost by size, at least two sizes
	 * @return the line
	 */
	public static Slope of(Map<Integer, Double> costs) {
		if (costs.size() < 2) {
			throw new IllegalArgumentException("a slope needs at least two sizes, had " + costs.keySet());
		}
		SimpleRegression regression = new SimpleRegression();
		costs.forEach(regression::addData);
		double fit = regression.getRSquare();
		// Costs that don't vary at all lie on a flat line.
		return new Slope(regression.getIntercept(), regression.getSlope(), Double.isNaN(fit) ? 1 : fit);
	}

	public double at(double size) {
		return this.fixed + this.perUnit * size;
	}

}
