package org.bramleyscale.internal.peer;

/**
 * The second frame of each side of a connection: proves knowledge of the shared key.
 *
 * @param code the HMAC over the sender's role and both hellos
 */
public record Proof(byte[] code) implements PeerMessage {

}
