package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Notifies the entry daemon that the answer is complete.
 *
 * @param forward the forward number, assigned by the entry daemon
 * @param tokens the offset after the last token
 * @param promptTokens the number of prompt tokens
 * @param cachedTokens the number of prompt tokens found in the prefix cache
 * @param answerTokens the number of answer tokens as counted by the engine
 * @param finishReason the reason why generation stopped
 */
public record ForwardDone(long forward, long tokens, int promptTokens, int cachedTokens, int answerTokens,
		String finishReason) implements PeerMessage {
}
