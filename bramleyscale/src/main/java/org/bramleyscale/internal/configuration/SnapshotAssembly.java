package org.bramleyscale.internal.configuration;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Puts the pieces of one whole version together.
 *
 * <p>
 * Pieces of one sender arrive in order as long as its connection lasts. A piece out of
 * order means that some are lost; everything is dropped then and the sender must be asked
 * again. Not safe for use by multiple threads.
 */
final class SnapshotAssembly {

	private static final int LARGEST_SNAPSHOT = 64 * 1024 * 1024;

	private final ByteArrayOutputStream received = new ByteArrayOutputStream();

	private ContentHash hash = ContentHash.NONE;

	private int next;

	/**
	 * Takes a piece.
	 * @param chunk the piece
	 * @return the whole once the last piece is there
	 */
	Optional<byte[]> add(ConfigurationChunk chunk) {
		if (chunk.index() == 0) {
			reset(chunk.hash());
		}
		boolean inOrder = chunk.index() == this.next && chunk.hash().equals(this.hash);
		if (!inOrder || this.received.size() + chunk.data().length > LARGEST_SNAPSHOT) {
			reset(ContentHash.NONE);
			return Optional.empty();
		}
		this.received.writeBytes(chunk.data());
		this.next++;
		return (this.next == chunk.count()) ? Optional.of(this.received.toByteArray()) : Optional.empty();
	}

	private void reset(ContentHash started) {
		this.received.reset();
		this.hash = started;
		this.next = 0;
	}

}
