package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Notifies the entry daemon how many parts of a body the home daemon has received.
 *
 * @param forward the forward number, assigned by the entry daemon
 * @param parts the number of parts received, including the first
 */
public record ForwardBodyCredit(long forward, int parts) implements PeerMessage {
}
