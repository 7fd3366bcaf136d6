package org.bramleyscale.internal.membership;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks for an immediate {@link ProbeReply}.
 *
 * @param id the probe's number, assigned by the sender
 */
record Probe(long id) implements PeerMessage {

}
