package org.bramleyscale.internal.endpoint;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * An owner's confirmation that it has renewed holds.
 *
 * @param holds the ids of the holds
 */
public record Renewed(List<String> holds) implements PeerMessage {

	public Renewed {
		holds = List.copyOf(holds);
	}

}
