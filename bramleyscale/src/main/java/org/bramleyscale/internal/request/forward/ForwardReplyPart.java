package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A further part of a plain service's reply, sent to the entry daemon.
 *
 * @param forward the forward number, assigned by the entry daemon
 * @param index the index of the part, from 1
 * @param part the content of the part
 */
public record ForwardReplyPart(long forward, int index, byte[] part) implements PeerMessage {
}
