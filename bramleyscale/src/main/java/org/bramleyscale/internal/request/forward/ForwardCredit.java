package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Tells the home how much of an answer the entry has passed on.
 *
 * @param forward the number that the entry gave this forward
 * @param characters characters passed on since this forward began
 */
public record ForwardCredit(long forward, long characters) implements PeerMessage {
}
