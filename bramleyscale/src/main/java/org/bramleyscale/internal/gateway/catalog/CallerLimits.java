package org.bramleyscale.internal.gateway.catalog;

import java.time.Duration;

/**
 * Limits on the sizes of callers' requests and on the time they take.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param headerBytes the maximum size of the header block
 * @param bodyBytes the maximum size of the body
 * @param headerTimeout the maximum time for the header block, from its first byte
 * @param idleTimeout the maximum time that a connection may be idle
 */
public record CallerLimits(int headerBytes, int bodyBytes, Duration headerTimeout, Duration idleTimeout) {

	/** The limits in force until the operator's document is known. */
	public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, Duration.ofSeconds(3),
			Duration.ofSeconds(15));

}
