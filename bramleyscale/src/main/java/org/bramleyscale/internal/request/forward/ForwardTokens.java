package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A piece of an answer, sent to the entry daemon.
 *
 * @param forward the forward number, assigned by the entry daemon
 * @param offset the offset of its first token
 * @param tokens the number of tokens in it
 * @param text the text of the tokens
 */
public record ForwardTokens(long forward, long offset, int tokens, String text) implements PeerMessage {
}
