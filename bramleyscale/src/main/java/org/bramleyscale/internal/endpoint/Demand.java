package org.bramleyscale.internal.endpoint;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A message from an entry daemon to an owner that states the entry's use of the owner's
 * endpoints and the capacity it wants of them.
 *
 * @param sentMillis when it was sent, by the entry's own monotonic clock; the answering
 * grants carry it back, and the entry measures their expiry from it
 * @param periodMillis the entry's current interval between demands
 * @param items one item per endpoint
 */
public record Demand(long sentMillis, int periodMillis, List<DemandItem> items) implements PeerMessage {

	public Demand {
		items = List.copyOf(items);
	}

}
