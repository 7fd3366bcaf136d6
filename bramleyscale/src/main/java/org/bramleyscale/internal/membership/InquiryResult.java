package org.bramleyscale.internal.membership;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Answers an inquiry.
 *
 * @param id the asker's number
 * @param heard whether the target answered the probe
 */
record InquiryResult(long id, boolean heard) implements PeerMessage {

}
