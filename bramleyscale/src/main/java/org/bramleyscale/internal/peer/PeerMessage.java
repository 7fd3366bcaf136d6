package org.bramleyscale.internal.peer;

/**
 * A typed message between two daemons.
 *
 * <p>
 * Implementations are records whose components Jackson writes in order as a MessagePack
 * array; each lives in the slice whose duty it serves and is entered in the message
 * catalog under a fixed code. Immutable.
 */
public interface PeerMessage {

}
