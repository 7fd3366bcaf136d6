package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks the home daemon of a request for its answer, starting at an offset.
 *
 * @param forward the forward number, assigned by the entry daemon
 * @param id the request
 * @param account the requesting client account
 * @param offset the offset of the first requested token
 */
public record ForwardResume(long forward, String id, String account, long offset) implements PeerMessage {
}
