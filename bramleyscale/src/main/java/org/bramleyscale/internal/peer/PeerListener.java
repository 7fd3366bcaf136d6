package org.bramleyscale.internal.peer;

import org.bramleyscale.Incarnation;

/**
 * Receives messages of one type from other daemons.
 *
 * @param <M> the type of message
 */
@FunctionalInterface
public interface PeerListener<M extends PeerMessage> {

	/**
	 * Handles a message; called on the scheduler's thread.
	 * @param from the sender
	 * @param message the message
	 */
	void received(Incarnation from, M message);

}
