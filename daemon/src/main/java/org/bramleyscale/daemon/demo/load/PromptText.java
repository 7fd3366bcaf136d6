package org.bramleyscale.daemon.demo.load;

import java.util.random.RandomGenerator;

/**
 * Makes prompts of about a wanted number of tokens.
 *
 * <p>
 * Long prompts of one kind share their beginning, as questions about the same manual do.
 * Confined to one thread.
 */
final class PromptText {

	private static final String[] ENGLISH = { "jaw", "liner", "toggle", "crusher", "hours", "feed", "gap", "worn",
			"plate", "shift", "hire", "quarry", "belt", "grease", "bolt", "inspect" };

	private static final String[] VIETNAMESE = { "chuyến", "trễ", "phút", "bến", "tuyến", "trạm", "khách", "đến", "rời",
			"lượt", "ngày", "xe", "số", "tài", "giờ", "sáng" };

	private static final int ASCII_PER_TOKEN = 4;

	private static final int FIRST_NON_ASCII = 0x80;

	private static final int BOOKS = 3;

	private final RandomGenerator random;

	PromptText(RandomGenerator random) {
		this.random = random;
	}

	/**
	 * Makes a prompt.
	 * @param workload its kind
	 * @param number makes the prompt differ from all others
	 * @param tokens how many tokens it should have
	 * @return the prompt
	 */
	String prompt(Workload workload, int number, int tokens) {
		String[] words = workload.vietnamese() ? VIETNAMESE : ENGLISH;
		int book = this.random.nextInt(BOOKS);
		StringBuilder text = new StringBuilder(tokens * ASCII_PER_TOKEN);
		text.append(workload).append(' ').append(book).append(": ");
		double made = text.length() / (double) ASCII_PER_TOKEN;
		for (int i = book; made < tokens; i++) {
			String word = words[Math.floorMod(i * i + book * i, words.length)];
			text.append(word).append(' ');
			made += tokens(word);
		}
		return text.append("? request ").append(number).toString();
	}

	private static double tokens(String word) {
		long others = word.chars().filter((c) -> c >= FIRST_NON_ASCII).count();
		return others + (word.length() + 1 - others) / (double) ASCII_PER_TOKEN;
	}

}
