package org.bramleyscale.internal.membership;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Answers an {@link Inquiry}.
 *
 * @param id the number of the inquiry
 * @param reachable whether the target answered the probe
 */
record InquiryResult(long id, boolean reachable) implements PeerMessage {

}
