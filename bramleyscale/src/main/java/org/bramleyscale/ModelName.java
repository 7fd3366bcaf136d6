package org.bramleyscale;

/**
 * The name of one model.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param value the name as the register spells it and callers ask for it; never empty
 */
public record ModelName(String value) {

	public ModelName {
		Names.require("model", value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
