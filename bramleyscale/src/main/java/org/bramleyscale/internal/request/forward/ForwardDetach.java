package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Tells the home that the entry no longer reads.
 *
 * @param forward the number that the entry gave this forward
 */
public record ForwardDetach(long forward) implements PeerMessage {
}
