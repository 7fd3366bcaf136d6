package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Notifies the home daemon how many parts of a reply the entry daemon has received.
 *
 * @param forward the forward number, assigned by the entry daemon
 * @param parts the number of parts received, including the first
 */
public record ForwardReplyCredit(long forward, int parts) implements PeerMessage {
}
