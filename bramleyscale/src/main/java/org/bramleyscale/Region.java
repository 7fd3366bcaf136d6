package org.bramleyscale;

/**
 * The name of a region, an area that has one or more data centres.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param value the name as the settings and the operator's document spell it; never empty
 */
public record Region(String value) {

	public Region {
		Names.require("region", value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
