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
 * @param sentMillis when it was sent, by the sender's {@link QueueingDelays}; 0 if the
 * sender doesn't tell
 */
public record CopiesTold(String kind, long from, long to, long ageMillis, long outageMillis,
		List<FollowedObject> objects, long sentMillis) implements PeerMessage {

	/**
	 * The same copies, passed on.
	 * @param millis the time since they were told
	 * @param sendingMillis when they are passed on, by the new sender
	 * @return the message with greater ages
	 */
	CopiesTold later(long millis, long sendingMillis) {
		return new CopiesTold(this.kind, this.from, this.to, this.ageMillis + millis, this.outageMillis + millis,
				this.objects, sendingMillis);
	}

}
