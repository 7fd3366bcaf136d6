package org.bramleyscale.internal.platform;

import java.util.regex.Pattern;

/**
 * The key of one object in the platform's object API.
 *
 * <p>
 * Invariant: a key stands for itself in a path and in a header. Objects of other writers
 * may have names of which that isn't true, and which have no key. Immutable and safe for
 * use by multiple threads.
 *
 * @param kind the kind, for example {@code lease}
 * @param name the name, unique within the kind
 */
public record ObjectKey(String kind, String name) {

	/** The longest name: it has to fit into the head of a request. */
	public static final int MAX_NAME_LENGTH = 512;

	private static final String NAME_CHARACTER = "[A-Za-z0-9._:~-]";

	/** The names "." and ".." have a meaning of their own in paths. */
	private static final Pattern NAME = Pattern
		.compile("(?!\\.\\.?$)" + NAME_CHARACTER + "{1," + MAX_NAME_LENGTH + "}");

	/** The longest part of a name in a message. */
	private static final int MAX_QUOTED = 80;

	public ObjectKey {
		if (!kind.matches("[a-z][a-z0-9-]*")) {
			throw new IllegalArgumentException("object kind '" + kind + "' must be lower-case letters, digits and '-'");
		}
		if (!isValidName(name)) {
			throw new IllegalArgumentException("object name '" + name.substring(0, Math.min(name.length(), MAX_QUOTED))
					+ "' must be 1 to 512 letters, digits, '.', '_', ':', '~' and '-', and neither '.' nor '..'");
		}
	}

	/**
	 * Whether a key may have a name.
	 * @param name the name
	 * @return true if it stands for itself in a path and in a header
	 */
	public static boolean isValidName(String name) {
		return NAME.matcher(name).matches();
	}

	/**
	 * Whether a character may be part of a name.
	 * @param character the character
	 * @return true for letters, digits and a few signs
	 */
	public static boolean isNameCharacter(char character) {
		return String.valueOf(character).matches(NAME_CHARACTER);
	}

	@Override
	public String toString() {
		return this.kind + "/" + this.name;
	}

}
