package org.bramleyscale.internal.endpoint;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A message by which an owner grants one entry shares of its endpoints.
 *
 * @param demandSentMillis the sending time that the entry's last demand carried
 * @param lifetimeMillis how long the grant is valid, measured from that time
 * @param items one item per endpoint
 */
public record Grant(long demandSentMillis, int lifetimeMillis, List<GrantItem> items) implements PeerMessage {

	public Grant {
		items = List.copyOf(items);
	}

}
