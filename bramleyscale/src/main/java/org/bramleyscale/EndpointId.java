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

	@Override
	public String toString() {
		return this.value;
	}

}
