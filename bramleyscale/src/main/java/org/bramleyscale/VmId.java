package org.bramleyscale;

/**
 * The name of one VM that runs a daemon.
 *
 * @param value the name as the operator's register and the platform spell it; never empty
 */
public record VmId(String value) {

	public VmId {
		Names.require("VM", value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
