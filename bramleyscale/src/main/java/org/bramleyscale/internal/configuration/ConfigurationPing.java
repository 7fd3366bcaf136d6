package org.bramleyscale.internal.configuration;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Tells what the sender holds and asks for the receiver's digest.
 *
 * @param sequence the number that the digest repeats
 * @param version the version that the sender holds
 * @param hash its content hash
 */
public record ConfigurationPing(long sequence, long version, ContentHash hash) implements PeerMessage {

	/** The number of a ping that only announces a version. */
	public static final long NO_ANSWER = 0;

}
