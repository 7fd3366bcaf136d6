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

	/**
	 * Written out: the method that a record gets by itself goes through method handles,
	 * which the daemon's quick compiler doesn't inline. Ids are keys of maps that each
	 * placement reads for each endpoint.
	 */
	@Override
	public boolean equals(Object other) {
		return other instanceof ServiceName that && this.value.equals(that.value);
	}

	@Override
	public int hashCode() {
		return this.value.hashCode();
	}

	@Override
	public String toString() {
		return this.value;
	}

}
