package org.bramleyscale.internal.gateway.reachability;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks a daemon to connect to an endpoint.
 *
 * @param endpoint the endpoint's start as text
 */
public record ConnectionProbe(String endpoint) implements PeerMessage {
}
