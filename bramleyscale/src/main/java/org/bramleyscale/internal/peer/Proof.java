package org.bramleyscale.internal.peer;

/**
 * The second frame of each side of a connection: proves knowledge of the shared key.
 *
 * @param code the keyed hash over the speaker's role and both greetings
 */
public record Proof(byte[] code) implements PeerMessage {

}
