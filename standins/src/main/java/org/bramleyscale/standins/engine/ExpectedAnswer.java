package org.bramleyscale.standins.engine;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hashing;

/**
 * The answer that every engine gives to a prompt.
 *
 * <p>
 * Each token is a word that depends on the prompt and the token's offset only, so a
 * caller can tell whether an answer is whole and its own. Immutable and safe for use by
 * multiple threads.
 */
public final class ExpectedAnswer {

	private static final String[] WORDS = { "jaw ", "crusher ", "quarry ", "lowloader ", "bến ", "xe ", "mở ",
			"chuyến ", "trễ ", "phút ", "liner ", "toggle ", "hire ", "yard ", "trạm ", "ga " };

	private static final HashFunction HASH = Hashing.farmHashFingerprint64();

	private static final long SPREAD = 0x9E3779B97F4A7C15L;

	private static final int WORD_BITS = 60;

	private final long promptHash;

	private ExpectedAnswer(long promptHash) {
		this.promptHash = promptHash;
	}

	public static ExpectedAnswer to(String prompt) {
		return new ExpectedAnswer(HASH.hashString(prompt, StandardCharsets.UTF_8).asLong());
	}

	/**
	 * Part of the answer to a prompt.
	 * @param prompt the prompt
	 * @param from the first token's offset
	 * @param to the offset after the last token
	 * @return the text
	 */
	public static String text(String prompt, long from, long to) {
		return to(prompt).text(from, to);
	}

	/**
	 * Part of the answer.
	 * @param from the first token's offset
	 * @param to the offset after the last token
	 * @return the text
	 */
	public String text(long from, long to) {
		StringBuilder text = new StringBuilder();
		for (long offset = from; offset < to; offset++) {
			text.append(token(offset));
		}
		return text.toString();
	}

	String token(long offset) {
		long mixed = (this.promptHash ^ offset) * SPREAD;
		mixed ^= mixed >>> (Long.SIZE / 2);
		return WORDS[(int) (mixed * SPREAD >>> WORD_BITS)];
	}

}
