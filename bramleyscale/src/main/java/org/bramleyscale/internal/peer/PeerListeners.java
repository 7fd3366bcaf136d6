package org.bramleyscale.internal.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.Incarnation;

/**
 * The listeners of one network, by type of message.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class PeerListeners {

	private final Map<Class<? extends PeerMessage>, List<PeerListener<PeerMessage>>> byType = new HashMap<>();

	<M extends PeerMessage> void add(Class<M> type, PeerListener<M> listener) {
		this.byType.computeIfAbsent(type, (key) -> new ArrayList<>())
			.add((from, message) -> listener.received(from, type.cast(message)));
	}

	/**
	 * Passes a message to each listener of its type.
	 * @param from the sender
	 * @param message the message
	 */
	void deliver(Incarnation from, PeerMessage message) {
		for (PeerListener<PeerMessage> listener : this.byType.getOrDefault(message.getClass(), List.of())) {
			listener.received(from, message);
		}
	}

}
