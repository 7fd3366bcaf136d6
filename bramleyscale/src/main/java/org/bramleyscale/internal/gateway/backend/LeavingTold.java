package org.bramleyscale.internal.gateway.backend;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Endpoints that have said in an answer that they leave.
 *
 * @param endpoints their starts as text
 */
public record LeavingTold(List<String> endpoints) implements PeerMessage {
}
