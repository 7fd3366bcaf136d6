package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A further part of a prompt or body on its way to the home.
 *
 * @param forward the number that the entry gave this forward
 * @param index the part's number, from 1
 * @param part the part
 */
public record ForwardBody(long forward, int index, byte[] part) implements PeerMessage {
}
