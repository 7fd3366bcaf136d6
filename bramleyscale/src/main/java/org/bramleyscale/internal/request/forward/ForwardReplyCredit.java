package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Tells the home how many parts of a reply the entry has taken.
 *
 * @param forward the number that the entry gave this forward
 * @param parts parts taken, the first one included
 */
public record ForwardReplyCredit(long forward, int parts) implements PeerMessage {
}
