package org.bramleyscale.standins.engine;

/**
 * Counts the tokens of a text.
 *
 * <p>
 * Four ASCII characters make a token, and so does each other character. English text thus
 * has about four bytes a token and Vietnamese text about two, as with real tokenizers.
 * Stateless and safe for use by multiple threads.
 */
public final class TokenCount {

	private static final int ASCII_PER_TOKEN = 4;

	private static final int FIRST_NON_ASCII = 0x80;

	private TokenCount() {
	}

	/**
	 * Counts tokens.
	 * @param text the text
	 * @return its tokens; at least 1
	 */
	public static int of(String text) {
		int ascii = 0;
		int others = 0;
		for (int i = 0; i < text.length(); i++) {
			if (text.charAt(i) < FIRST_NON_ASCII) {
				ascii++;
			}
			else {
				others++;
			}
		}
		return Math.max(1, others + (ascii + ASCII_PER_TOKEN - 1) / ASCII_PER_TOKEN);
	}

}
