package org.bramleyscale.internal.node;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks a daemon to begin its planned stop; asking again changes nothing.
 *
 * @param askedBy the operator's daemon that passes the wish on, for the log
 */
public record Drain(String askedBy) implements PeerMessage {
}
