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

	/**
	 * Written out: the method that a record gets by itself goes through method handles,
	 * which the daemon's quick compiler doesn't inline. Ids are keys of maps that each
	 * placement reads for each endpoint.
	 */
	@Override
	public boolean equals(Object other) {
		return other instanceof VmId that && this.value.equals(that.value);
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
