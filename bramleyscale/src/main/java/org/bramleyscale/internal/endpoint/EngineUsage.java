package org.bramleyscale.internal.endpoint;

/**
 * The token counts of a completed generation, as reported by the engine.
 *
 * @param promptTokens tokens of the prompt
 * @param cachedTokens prompt tokens found in the prefix cache
 * @param answerTokens tokens of the complete answer
 * @param finishReason {@code stop} or {@code length}
 */
public record EngineUsage(int promptTokens, int cachedTokens, int answerTokens, String finishReason) {
}
