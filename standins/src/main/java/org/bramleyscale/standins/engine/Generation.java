package org.bramleyscale.standins.engine;

import java.util.List;
import java.util.Optional;

/**
 * An order to generate, as it came over the wire.
 *
 * @param key the attempt
 * @param model the model
 * @param prompt the prompt
 * @param delivered the part of the answer that the caller already has
 * @param firstOffset the offset of the first token to make
 * @param maxTokens the length of the whole answer
 * @param priority larger goes first
 * @param holds the holds to use, as {@code endpoint=hold}, this engine's first
 */
public record Generation(AttemptKey key, String model, Prompt prompt, String delivered, long firstOffset, int maxTokens,
		int priority, List<String> holds) {

	public Generation {
		holds = List.copyOf(holds);
	}

	/**
	 * The hold on this engine that the generation uses.
	 * @return the hold's id, or empty
	 */
	Optional<String> ownHold() {
		return this.holds.stream().findFirst().map((hold) -> hold.substring(hold.indexOf('=') + 1));
	}

}
