package org.bramleyscale.internal.peer;

/**
 * The first frame of each side of a connection.
 *
 * @param nonce random bytes, fresh for each connection, against replay
 * @param identity the sender
 * @param replacing whether the dialler opened this connection because an earlier one to
 * the same daemon became silent; always false from the side that accepted the connection
 */
public record Hello(byte[] nonce, PeerIdentity identity, boolean replacing) implements PeerMessage {

}
