package org.bramleyscale.internal.peer;

/**
 * The first frame of each side of a connection.
 *
 * @param nonce random bytes that make this greeting unlike any other
 * @param identity who speaks
 * @param replacing whether the dialler opened this connection because an earlier one to
 * the same daemon went silent; always false from the side that accepted
 */
public record Hello(byte[] nonce, PeerIdentity identity, boolean replacing) implements PeerMessage {

}
