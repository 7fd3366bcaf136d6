package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks the home of a request for its answer from an offset on.
 *
 * @param forward the number that the entry gave this forward
 * @param id the request
 * @param account who asks
 * @param offset the first token wanted
 */
public record ForwardResume(long forward, String id, String account, long offset) implements PeerMessage {
}
