package org.bramleyscale.internal.gateway.backend;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * An endpoint has said in an answer that it leaves.
 *
 * @param endpoint the endpoint's start as text
 */
public record LeavingTold(String endpoint) implements PeerMessage {
}
