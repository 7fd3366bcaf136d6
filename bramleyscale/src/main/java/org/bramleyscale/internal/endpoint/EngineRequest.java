package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.List;

import org.bramleyscale.ModelName;
import org.bramleyscale.RequestId;

/**
 * A request to an engine to generate tokens.
 *
 * @param id the request
 * @param attempt the number of this attempt, from 1; frames of other attempts are
 * discarded
 * @param model the model
 * @param prompt the prompt's text
 * @param delivered text that earlier attempts have delivered to the caller and that the
 * engine continues; empty in the first attempt
 * @param firstOffset the offset of the first token to generate, in tokens
 * @param maxTokens the maximum number of tokens of the complete answer
 * @param priority the scheduling priority; larger values run first
 * @param timeLeft the time left until the request's deadline
 * @param holds for a prompt larger than one engine: the hold ids on each engine of the
 * group, as {@code endpoint=hold}, this engine's first; otherwise empty
 */
public record EngineRequest(RequestId id, int attempt, ModelName model, String prompt, String delivered,
		long firstOffset, int maxTokens, int priority, Duration timeLeft, List<String> holds) {

	public EngineRequest {
		holds = List.copyOf(holds);
	}

}
