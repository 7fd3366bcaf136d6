package org.bramleyscale.internal.configuration;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Answers a ping with what the sender holds.
 *
 * <p>
 * The age counts back from the sending. The receiver counts it from when it sent the
 * ping, by its own clock, so that a digest that was held up on its way looks older, never
 * younger, than it is.
 *
 * @param sequence the ping's number
 * @param version the version that the sender holds
 * @param hash its content hash
 * @param confirmedMillis how long ago the platform confirmed that there is no later
 * version, or {@link #NEVER}
 */
public record ConfigurationDigest(long sequence, long version, ContentHash hash,
		long confirmedMillis) implements PeerMessage {

	/** The age of a version that the platform never confirmed. */
	public static final long NEVER = -1;

}
