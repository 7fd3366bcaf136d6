package org.bramleyscale.internal.configuration;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * Asks for everything later than what the sender holds.
 *
 * @param version the version that the sender holds, or {@link #WHOLE}
 * @param hash its content hash
 */
public record ConfigurationRequest(long version, ContentHash hash) implements PeerMessage {

	/** Asks for a whole version, because what the sender holds can't be built upon. */
	public static final long WHOLE = -1;

}
