package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The answer that the engine holds the memory.
 *
 * @param endpoint the engine
 * @param hold the hold's id
 */
public record Reserved(EndpointId endpoint, String hold) implements PeerMessage {
}
