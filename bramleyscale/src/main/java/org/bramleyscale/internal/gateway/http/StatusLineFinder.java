package org.bramleyscale.internal.gateway.http;

/**
 * Finds the beginnings of status lines in bytes that arrive in pieces.
 *
 * <p>
 * A status line in the midst of a response shows that the response was broken off and
 * that another one begins there. Confined to one thread.
 */
final class StatusLineFinder {

	/** The beginning of a status line; each zero stands for a digit. */
	private static final String PATTERN = "HTTP/0.0 000";

	private int matched;

	/**
	 * Reads the next byte.
	 * @param value the byte
	 * @return true if it completes the version and the code of a status line
	 */
	boolean next(byte value) {
		if (matches(value)) {
			this.matched++;
		}
		else {
			this.matched = (value == PATTERN.charAt(0)) ? 1 : 0;
		}
		if (this.matched < PATTERN.length()) {
			return false;
		}
		this.matched = 0;
		return true;
	}

	/**
	 * Whether the last bytes may be the beginning of a status line.
	 * @return false if the next byte can only begin one
	 */
	boolean begun() {
		return this.matched > 0;
	}

	private boolean matches(byte value) {
		char expected = PATTERN.charAt(this.matched);
		return (expected == '0') ? value >= '0' && value <= '9' : value == expected;
	}

	/**
	 * Returns the number of bytes that {@link #next} reads for one status line.
	 * @return the number
	 */
	static int length() {
		return PATTERN.length();
	}

}
