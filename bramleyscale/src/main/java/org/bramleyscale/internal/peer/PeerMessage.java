package org.bramleyscale.internal.peer;

/**
 * A typed message between two daemons.
 *
 * <p>
 * Implementations are records whose components Jackson writes in order as a MessagePack
 * array. Each belongs to the component that uses it and is registered in the
 * {@link MessageCatalog} under a fixed code. Immutable.
 */
public interface PeerMessage {

}
