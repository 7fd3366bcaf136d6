package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A message by which a holder releases a hold or withdraws a pending one. If the message
 * is lost, the hold expires because it isn't renewed.
 *
 * @param endpoint the engine
 * @param hold the hold's id
 */
public record Release(EndpointId endpoint, String hold) implements PeerMessage {
}
