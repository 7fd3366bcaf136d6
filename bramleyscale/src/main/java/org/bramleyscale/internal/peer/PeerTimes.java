package org.bramleyscale.internal.peer;

import java.time.Duration;

/**
 * The times by which connections are judged.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param heartbeat a connection on which nothing was sent for this long gets a heartbeat
 * @param silence a connection on which nothing was heard for this long is suspect
 * @param giveUp a connection on which nothing was heard for this long is closed
 * @param dialGrace how long the VM with the greater name waits for the other to dial
 * @param idle a connection without messages for this long is closed unless its peer is
 * desired
 * @param pending how long messages wait for a connection that is being opened
 * @param shortestBackoff the pause after the first failed dial
 * @param longestBackoff the longest pause between dials
 */
public record PeerTimes(Duration heartbeat, Duration silence, Duration giveUp, Duration dialGrace, Duration idle,
		Duration pending, Duration shortestBackoff, Duration longestBackoff) {

	/** What daemons use unless a test says otherwise. */
	public static final PeerTimes DEFAULT = new PeerTimes(Duration.ofSeconds(1), Duration.ofSeconds(3),
			Duration.ofSeconds(30), Duration.ofSeconds(3), Duration.ofMinutes(1), Duration.ofSeconds(5),
			Duration.ofMillis(200), Duration.ofSeconds(10));

}
