package org.bramleyscale.internal.gateway.follow;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * What a daemon knows of a kind of objects, for a peer that may know less. Without
 * objects it says that nothing changed.
 *
 * @param kind the kind of objects
 * @param from all changes after this revision are given
 * @param to and up to this one
 * @param ageMillis how long ago the store said that nothing was newer, ms
 * @param outageMillis how long ago the store was last away for somebody who read it, ms;
 * entries that lapsed meanwhile may be back soon
 * @param objects the copies
 * @param times when it was sent; null from a sender that doesn't tell
 */
public record CopiesTold(String kind, long from, long to, long ageMillis, long outageMillis,
		List<FollowedObject> objects, SendingTimes times) implements PeerMessage {
}
