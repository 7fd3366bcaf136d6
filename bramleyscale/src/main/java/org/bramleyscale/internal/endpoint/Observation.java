package org.bramleyscale.internal.endpoint;

import java.time.Duration;

/**
 * An entry's measurements of one attempt, from which the endpoint's step times and health
 * are estimated.
 *
 * @param promptTokens tokens of the prompt that had to be computed
 * @param firstToken time from sending to the first token, or null if none arrived
 * @param predictedFirstToken the time to the first token that was predicted when the
 * attempt was sent, or null if unknown
 * @param answerTokens tokens received
 * @param streaming time from the first to the last token
 * @param failed whether the attempt failed through the endpoint's fault
 */
public record Observation(int promptTokens, Duration firstToken, Duration predictedFirstToken, int answerTokens,
		Duration streaming, boolean failed) {
}
