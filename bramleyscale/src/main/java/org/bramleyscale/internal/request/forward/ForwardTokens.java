package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A piece of an answer on its way to the entry.
 *
 * @param forward the number that the entry gave this forward
 * @param offset the offset of its first token
 * @param tokens how many tokens it holds
 * @param text the tokens' text
 */
public record ForwardTokens(long forward, long offset, int tokens, String text) implements PeerMessage {
}
