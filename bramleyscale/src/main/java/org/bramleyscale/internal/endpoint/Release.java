package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A holder gives a hold back, or no longer waits for it. If the message is lost, the hold
 * ends because it isn't renewed.
 *
 * @param endpoint the engine
 * @param hold the hold's id
 */
public record Release(EndpointId endpoint, String hold) implements PeerMessage {
}
