package org.bramleyscale.internal.endpoint;

import java.time.Duration;

/**
 * What an entry saw of one attempt, from which step times and health are learnt.
 *
 * @param promptTokens tokens of the prompt that had to be computed
 * @param firstToken time from sending to the first token, or null if none came
 * @param predictedFirstToken what had been predicted when it was sent, or null if unknown
 * @param answerTokens tokens received
 * @param streaming time from the first to the last token
 * @param failed whether the attempt failed through the endpoint's fault
 */
public record Observation(int promptTokens, Duration firstToken, Duration predictedFirstToken, int answerTokens,
		Duration streaming, boolean failed) {
}
