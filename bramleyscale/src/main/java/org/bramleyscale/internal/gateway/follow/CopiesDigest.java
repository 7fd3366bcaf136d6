package org.bramleyscale.internal.gateway.follow;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A digest of the copies that a daemon holds, sent to peers periodically.
 *
 * @param kinds one entry for each kind that the daemon follows
 * @param times when it was sent; null from a sender of a version without timestamps
 */
public record CopiesDigest(List<Held> kinds, SendingTimes times) implements PeerMessage {

	/**
	 * The state of one kind.
	 *
	 * @param kind the kind of objects
	 * @param lastChange the revision of the newest change known
	 * @param complete the revision up to which every change is known
	 * @param ageMillis how long ago the store confirmed that nothing was newer, ms
	 */
	public record Held(String kind, long lastChange, long complete, long ageMillis) {
	}

}
