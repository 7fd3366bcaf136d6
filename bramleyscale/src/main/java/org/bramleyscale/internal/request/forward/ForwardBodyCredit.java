package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Tells the entry how many parts of a body the home has taken.
 *
 * @param forward the number that the entry gave this forward
 * @param parts parts taken, the first one included
 */
public record ForwardBodyCredit(long forward, int parts) implements PeerMessage {
}
