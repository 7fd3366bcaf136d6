package org.bramleyscale;

/**
 * The name of one service that endpoints offer.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param value the name as the register spells it; never empty
 */
public record ServiceName(String value) {

	public ServiceName {
		Names.require("service", value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
