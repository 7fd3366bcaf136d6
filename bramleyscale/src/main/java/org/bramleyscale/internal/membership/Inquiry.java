package org.bramleyscale.internal.membership;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks the receiver to probe another daemon.
 *
 * @param id the inquiry's number, assigned by the sender
 * @param target the daemon that the sender can't reach
 */
record Inquiry(long id, VmId target) implements PeerMessage {

}
