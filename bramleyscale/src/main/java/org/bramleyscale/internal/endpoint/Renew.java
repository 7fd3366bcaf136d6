package org.bramleyscale.internal.endpoint;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A holder's renewal of its holds. Each hold is described in full, so that a new owner
 * can restore it.
 *
 * @param holds the holds on the owner's engines
 */
public record Renew(List<HeldMemory> holds) implements PeerMessage {

	public Renew {
		holds = List.copyOf(holds);
	}

}
