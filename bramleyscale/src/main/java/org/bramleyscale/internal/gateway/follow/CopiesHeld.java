package org.bramleyscale.internal.gateway.follow;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Up to where a daemon's copies reach, told to peers again and again.
 *
 * @param kinds one entry for each kind that it follows
 * @param times when it was sent; null from a sender that doesn't tell
 */
public record CopiesHeld(List<Held> kinds, SendingTimes times) implements PeerMessage {

	/**
	 * One kind's state.
	 *
	 * @param kind the kind of objects
	 * @param lastChange the revision of the newest change known
	 * @param complete the revision up to which every change is known
	 * @param ageMillis how long ago the store said that nothing was newer, ms
	 */
	public record Held(String kind, long lastChange, long complete, long ageMillis) {
	}

}
