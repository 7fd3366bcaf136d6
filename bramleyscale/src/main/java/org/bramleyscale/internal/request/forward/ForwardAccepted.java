package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Tells the entry that the home has the request.
 *
 * @param forward the number that the entry gave this forward
 * @param id the request
 */
public record ForwardAccepted(long forward, String id) implements PeerMessage {
}
