package org.bramleyscale.internal.peer;

import java.time.Duration;

/**
 * The intervals and timeouts of connections.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param heartbeatInterval a heartbeat is sent on a connection on which nothing was sent
 * for this long
 * @param silenceTimeout a connection on which nothing was received for this long is
 * silent, and a replacement is dialled
 * @param closeTimeout a connection on which nothing was received for this long is closed
 * @param dialGrace how long the VM with the greater name waits for the other to dial
 * first
 * @param idleTimeout a connection without messages for this long is closed unless the
 * peer is desired
 * @param pendingTimeout how long messages stay pending for a connection that is being
 * opened
 * @param minBackoff the full back-off after the first failed dial, before jitter
 * @param maxBackoff the longest back-off between dials
 */
public record PeerTimings(Duration heartbeatInterval, Duration silenceTimeout, Duration closeTimeout,
		Duration dialGrace, Duration idleTimeout, Duration pendingTimeout, Duration minBackoff, Duration maxBackoff) {

	/** The values that daemons use; tests may set others. */
	public static final PeerTimings DEFAULT = new PeerTimings(Duration.ofSeconds(1), Duration.ofSeconds(3),
			Duration.ofSeconds(30), Duration.ofSeconds(3), Duration.ofMinutes(1), Duration.ofSeconds(5),
			Duration.ofMillis(200), Duration.ofSeconds(10));

}
