package org.bramleyscale.internal.gateway.catalog;

import java.time.Duration;

/**
 * What callers may send, and how long they may take.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param headerBytes the largest header block
 * @param bodyBytes the largest body
 * @param headerTimeout how long the header block may take from its first byte
 * @param idleTimeout how long a connection may stay without a request
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** What holds until the operator's document is known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

}
