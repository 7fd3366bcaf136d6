package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks the home daemon of a request to cancel it for its caller.
 *
 * @param id the request
 * @param account the requesting client account
 */
public record CancelRequest(String id, String account) implements PeerMessage {
}
