package org.bramleyscale.internal.request.forward;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Notifies the home daemon how much of an answer the entry daemon has delivered.
 *
 * @param forward the forward number, assigned by the entry daemon
 * @param characters the number of characters delivered since this forward began
 */
public record ForwardCredit(long forward, long characters) implements PeerMessage {
}
