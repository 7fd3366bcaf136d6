package org.bramleyscale.internal.endpoint;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * An entry tells an owner what it uses and wants of the owner's endpoints.
 *
 * @param sentMillis when it was sent, by the entry's own monotonic clock; grants carry it
 * back, and the entry counts their expiry from it
 * @param periodMillis how often the entry sends demands at present
 * @param items one for each endpoint
 */
public record Demand(long sentMillis, int periodMillis, List<DemandItem> items) implements PeerMessage {

	public Demand {
		items = List.copyOf(items);
	}

}
