package org.bramleyscale.internal.endpoint;

/**
 * What a completed generation used, as the engine counted it.
 *
 * @param promptTokens tokens of the prompt
 * @param cachedTokens prompt tokens found in the prefix cache
 * @param answerTokens tokens of the whole answer
 * @param finishReason {@code stop} or {@code length}
 */
public record EngineUsage(int promptTokens, int cachedTokens, int answerTokens, String finishReason) {
}
