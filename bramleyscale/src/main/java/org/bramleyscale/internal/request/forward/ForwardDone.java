package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Tells the entry that the whole answer is there.
 *
 * @param forward the number that the entry gave this forward
 * @param tokens the offset after the last token
 * @param promptTokens tokens of the prompt
 * @param cachedTokens prompt tokens found in the prefix cache
 * @param answerTokens tokens of the answer as the engine counted them
 * @param finishReason why the answer ends
 */
public record ForwardDone(long forward, long tokens, int promptTokens, int cachedTokens, int answerTokens,
		String finishReason) implements PeerMessage {
}
