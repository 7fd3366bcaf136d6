package org.bramleyscale;

import java.util.regex.Pattern;

/**
 * Checks the names that value types carry.
 *
 * <p>
 * Names appear in URLs, object keys, logs and YAML documents, so they are restricted to
 * characters that need no quoting in any of them.
 */
final class Names {

	private static final int LONGEST = 128;

	private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._:-]*");

	private Names() {
	}

	static void require(String kind, String value) {
		if (value == null) {
			throw new IllegalArgumentException(kind + " name must not be null");
		}
		if (value.length() > LONGEST) {
			throw new IllegalArgumentException(
					kind + " name '" + value + "' is longer than " + LONGEST + " characters");
		}
		if (!ALLOWED.matcher(value).matches()) {
			throw new IllegalArgumentException(kind + " name '" + value
					+ "' must start with a letter or digit and hold only letters, digits, '.', '_', ':' and '-'");
		}
	}

}
