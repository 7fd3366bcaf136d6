package org.bramleyscale.internal.membership;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Answers a {@link Probe}.
 *
 * @param id the number of the probe
 */
record ProbeReply(long id) implements PeerMessage {

}
