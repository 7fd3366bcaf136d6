package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.List;

import org.bramleyscale.ModelName;
import org.bramleyscale.RequestId;

/**
 * An order to an engine to generate tokens.
 *
 * @param id the request
 * @param attempt the number of this attempt, from 1; frames of other attempts are dropped
 * @param model the model
 * @param prompt the prompt's text
 * @param delivered text already delivered to the caller by an earlier attempt, to be
 * continued; empty at the first attempt
 * @param firstOffset the offset of the first token to generate, in tokens
 * @param maxTokens the largest number of tokens the whole answer may have
 * @param priority larger goes first
 * @param timeLeft how long the request may still take
 * @param holds for a prompt larger than one engine: the hold ids on each engine of the
 * group, as {@code endpoint=hold}, this engine's first; otherwise empty
 */
public record EngineRequest(RequestId id, int attempt, ModelName model, String prompt, String delivered,
		long firstOffset, int maxTokens, int priority, Duration timeLeft, List<String> holds) {

	public EngineRequest {
		holds = List.copyOf(holds);
	}

}
