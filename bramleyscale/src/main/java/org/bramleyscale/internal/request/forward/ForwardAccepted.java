package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Notifies the entry daemon that the home daemon has admitted the request.
 *
 * @param forward the forward number, assigned by the entry daemon
 * @param id the request
 */
public record ForwardAccepted(long forward, String id) implements PeerMessage {
}
