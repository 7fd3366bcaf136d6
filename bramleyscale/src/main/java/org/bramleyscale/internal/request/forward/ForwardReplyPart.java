package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A further part of a plain service's reply.
 *
 * @param forward the number that the entry gave this forward
 * @param index the part's number, from 1
 * @param part the part
 */
public record ForwardReplyPart(long forward, int index, byte[] part) implements PeerMessage {
}
