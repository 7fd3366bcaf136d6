package org.bramleyscale.standins.engine;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import com.google.common.hash.Hashing;

/**
 * A block of a prompt, known by the hash of all text up to its end.
 *
 * @param hash the hash
 * @param tokens the block's tokens
 */
record PrefixBlock(long hash, int tokens) {

	private static final int CHARACTERS = 1024;

	/**
	 * Cuts a prompt into blocks of equal length; what is left over belongs to none.
	 * @param prompt the prompt
	 * @return its blocks in order
	 */
	static List<PrefixBlock> blocks(String prompt) {
		List<PrefixBlock> blocks = new ArrayList<>();
		PrefixBlock block = new PrefixBlock(0, 0);
		for (int end = CHARACTERS; end <= prompt.length(); end += CHARACTERS) {
			block = block.next(prompt.substring(end - CHARACTERS, end));
			blocks.add(block);
		}
		return blocks;
	}

	private PrefixBlock next(String text) {
		long nextHash = Hashing.farmHashFingerprint64()
			.newHasher()
			.putLong(this.hash)
			.putString(text, StandardCharsets.UTF_8)
			.hash()
			.asLong();
		return new PrefixBlock(nextHash, TokenCount.of(text));
	}

}
