package org.bramleyscale.internal.gateway.follow;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Copies of one kind of objects, for a peer whose copies may be older. A message without
 * objects states that nothing changed.
 *
 * @param kind the kind of objects
 * @param from the message holds every change after this revision
 * @param to the message holds every change up to and including this revision
 * @param ageMillis how long ago the store confirmed that nothing was newer, ms
 * @param outageMillis how long ago the store was last unavailable to a daemon that read
 * it, ms; entries that expired during the outage may be registered again soon
 * @param objects the copies
 * @param times when it was sent; null from a sender of a version without timestamps
 */
public record CopiesUpdate(String kind, long from, long to, long ageMillis, long outageMillis, List<ObjectCopy> objects,
		SendingTimes times) implements PeerMessage {
}
