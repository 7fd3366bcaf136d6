package org.bramleyscale.bench;

/**
 * One measured value.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param duty which duty it belongs to
 * @param what what was measured, and at which size
 * @param value the value
 * @param unit the unit of the value
 */
public record Figure(String duty, String what, double value, String unit) {

	public Figure {
		if (!Double.isFinite(value)) {
			throw new IllegalArgumentException("the value of '" + what + "' must be finite, was " + value);
		}
	}

}
