package org.bramleyscale.internal.configuration;

import org.bramleyscale.internal.peer.PeerMessage;

/**
 * One piece of a whole version.
 *
 * @param version the version
 * @param hash its content hash
 * @param index the piece's index
 * @param count the number of pieces
 * @param data the piece
 */
public record ConfigurationChunk(long version, ContentHash hash, int index, int count,
		byte[] data) implements PeerMessage {
}
