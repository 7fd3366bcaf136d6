package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Tells the home that a caller cancels its request.
 *
 * @param id the request
 * @param account who asks
 */
public record CancelRequest(String id, String account) implements PeerMessage {
}
