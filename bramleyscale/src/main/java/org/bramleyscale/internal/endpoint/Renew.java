package org.bramleyscale.internal.endpoint;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A holder still needs its holds. Each is named in full, so that a new owner learns of
 * it.
 *
 * @param holds the holds on the owner's engines
 */
public record Renew(List<HeldMemory> holds) implements PeerMessage {

	public Renew {
		holds = List.copyOf(holds);
	}

}
