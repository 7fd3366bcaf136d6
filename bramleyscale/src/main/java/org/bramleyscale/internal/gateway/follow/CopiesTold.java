package org.bramleyscale.internal.gateway.follow;

import java.util.List;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * A daemon's copies of changed objects, for a peer that lacks them.
 *
 * @param kind the kind of objects
 * @param from all changes after this revision are given
 * @param to and up to this one
 * @param objects the copies
 */
public record CopiesTold(String kind, long from, long to, List<FollowedObject> objects) implements PeerMessage {
}
