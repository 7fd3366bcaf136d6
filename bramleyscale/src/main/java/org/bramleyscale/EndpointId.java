package org.bramleyscale;

/**
 * The name of one endpoint: a model engine or an instance of a plain service.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param value the name as the register spells it; never empty
 */
public record EndpointId(String value) {

	public EndpointId {
		Names.require("endpoint", value);
	}

	/**
	 * Written out: the method that a record gets by itself goes through method handles,
	 * which the daemon's quick compiler doesn't inline. Ids are keys of maps that each
	 * placement reads for each endpoint.
	 */
	@Override
	public boolean equals(Object other) {
		return other instanceof EndpointId that && this.value.equals(that.value);
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
