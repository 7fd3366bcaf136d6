package org.bramleyscale.internal.endpoint;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * An owner's grant to one entry.
 *
 * @param demandSentMillis the sending time carried by the entry's last demand
 * @param lifetimeMillis how long after that time the grant is good
 * @param items one for each endpoint
 */
public record Grant(long demandSentMillis, int lifetimeMillis, List<GrantItem> items) implements PeerMessage {

	public Grant {
		items = List.copyOf(items);
	}

}
