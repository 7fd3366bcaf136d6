package org.bramleyscale.internal.endpoint;

import org.bramleyscale.EndpointId;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * The answer of a daemon that got a demand for an endpoint which another daemon owns.
 *
 * @param endpoint the endpoint
 * @param owner the owner by the newest announcement heard
 * @param epoch the epoch announced
 */
public record Redirect(EndpointId endpoint, VmId owner, long epoch) implements PeerMessage {
}
