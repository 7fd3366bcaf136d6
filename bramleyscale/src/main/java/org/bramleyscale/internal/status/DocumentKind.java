package org.bramleyscale.internal.status;

import java.util.Locale;

/**
 * The two documents in which operators describe what they run and what they want.
 */
public enum DocumentKind {

	/** The VMs, models, services and endpoints. */
	REGISTER,
	/** The urgent services and the client accounts with their limits. */
	RULES;

	/**
	 * The document's name in URLs, commands and messages.
	 * @return the lower-case name
	 */
	public String word() {
		return name().toLowerCase(Locale.ROOT);
	}

}
