package org.bramleyscale.internal.gateway.reachability;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Tells a daemon that an endpoint has accepted a connection.
 *
 * @param endpoint the endpoint's start as text
 */
public record ConnectionProbeAnswer(String endpoint) implements PeerMessage {
}
