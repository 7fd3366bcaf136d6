package org.bramleyscale.internal.membership;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks the receiver to probe a third daemon.
 *
 * @param id the asker's number for it
 * @param target the daemon that the asker doesn't hear
 */
record Inquiry(long id, VmId target) implements PeerMessage {

}
