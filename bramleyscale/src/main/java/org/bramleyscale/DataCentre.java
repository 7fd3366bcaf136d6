package org.bramleyscale;

/**
 * The name of one data centre.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param value the name as the operator's register spells it; never empty
 */
public record DataCentre(String value) {

	public DataCentre {
		Names.require("data centre", value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
