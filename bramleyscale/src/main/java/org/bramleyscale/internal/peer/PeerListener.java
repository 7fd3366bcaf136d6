package org.bramleyscale.internal.peer;

import org.bramleyscale.Incarnation;

/**
 * Takes messages of one type from other daemons.
 *
 * @param <M> the type of message
 */
@FunctionalInterface
public interface PeerListener<M extends PeerMessage> {

	/**
	 * Called on the scheduler's thread.
	 * @param from the sender
	 * @param message the message
	 */
	void received(Incarnation from, M message);

}
