package org.bramleyscale.internal.configuration;

/**
 * One thing wrong with a register or with rules.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param line the line of the document, or 0 if it isn't known
 * @param key where it is, for example {@code endpoints[runner-1].service}
 * @param value what is written there; never a key of an account
 * @param allowed what is allowed
 */
public record ConfigurationProblem(int line, String key, String value, String allowed) {

	/** The line of a problem that wasn't read from a document. */
	public static final int NO_LINE = 0;

	public ConfigurationProblem(String key, String value, String allowed) {
		this(NO_LINE, key, value, allowed);
	}

	/**
	 * The same problem at a known line.
	 * @param known the line
	 * @return the located problem
	 */
	public ConfigurationProblem at(int known) {
		return new ConfigurationProblem(known, this.key, this.value, this.allowed);
	}

	@Override
	public String toString() {
		String place = (this.line == NO_LINE) ? "" : "line " + this.line + ": ";
		return place + this.key + ": '" + this.value + "' is not allowed; allowed is " + this.allowed;
	}

}
