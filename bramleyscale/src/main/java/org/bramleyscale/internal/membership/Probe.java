package org.bramleyscale.internal.membership;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks for an immediate reply.
 *
 * @param id the sender's number for it
 */
record Probe(long id) implements PeerMessage {

}
