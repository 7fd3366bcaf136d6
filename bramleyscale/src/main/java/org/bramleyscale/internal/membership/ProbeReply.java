package org.bramleyscale.internal.membership;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Replies to a probe.
 *
 * @param id the prober's number
 */
record ProbeReply(long id) implements PeerMessage {

}
