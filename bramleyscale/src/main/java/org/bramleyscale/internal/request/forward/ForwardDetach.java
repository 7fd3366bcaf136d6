package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Notifies the home daemon that the entry daemon has stopped reading the answer.
 *
 * @param forward the forward number, assigned by the entry daemon
 */
public record ForwardDetach(long forward) implements PeerMessage {
}
