package org.bramleyscale.standins.engine;

import java.util.List;

/**
 * What an engine knows of a prompt; worked out once, away from the scheduler's thread,
 * since prompts are long. The text itself isn't kept.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param tokens its length
 * @param answer the answer to it
 * @param blocks its beginnings, as the prefix cache knows them
 */
record Prompt(int tokens, ExpectedAnswer answer, List<PrefixBlock> blocks) {

	Prompt {
		blocks = List.copyOf(blocks);
	}

	static Prompt of(String text) {
		return new Prompt(TokenCount.of(text), ExpectedAnswer.to(text), PrefixBlock.blocks(text));
	}

}
