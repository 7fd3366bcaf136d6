package org.bramleyscale;

/**
 * The name of one client account.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param value the name as the rules spell it; never empty
 */
public record ClientAccountId(String value) {

	public ClientAccountId {
		Names.require("client account", value);
	}

	@Override
	public String toString() {
		return this.value;
	}

}
