package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The answer to a demand for an endpoint that another daemon owns.
 *
 * @param endpoint the endpoint
 * @param owner the owner according to the newest announcement received
 * @param epoch the epoch of that announcement
 */
public record Redirect(EndpointId endpoint, VmId owner, long epoch) implements PeerMessage {
}
