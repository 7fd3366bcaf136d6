package org.bramleyscale.internal.gateway.backend;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Endpoints that have announced in an answer that they are leaving.
 *
 * @param endpoints their starts as text
 */
public record LeavingUpdate(List<String> endpoints) implements PeerMessage {
}
