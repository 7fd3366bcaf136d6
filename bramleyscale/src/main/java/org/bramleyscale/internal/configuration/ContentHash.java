package org.bramleyscale.internal.configuration;

import java.nio.ByteBuffer;
import java.util.List;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;

/**
 * The first 128 bits of a SHA-256 over some content.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param high the first eight bytes
 * @param low the next eight bytes
 */
public record ContentHash(long high, long low) {

	/** Stands for no content at all. */
	public static final ContentHash NONE = new ContentHash(0, 0);

	static ContentHash of(byte[] content) {
		return first(Hashing.sha256().hashBytes(content).asBytes());
	}

	static ContentHash of(List<ContentHash> parts) {
		Hasher hasher = Hashing.sha256().newHasher();
		parts.forEach((part) -> hasher.putLong(part.high).putLong(part.low));
		return first(hasher.hash().asBytes());
	}

	private static ContentHash first(byte[] digest) {
		ByteBuffer buffer = ByteBuffer.wrap(digest);
		return new ContentHash(buffer.getLong(), buffer.getLong());
	}

	@Override
	public String toString() {
		return String.format("%016x%016x", this.high, this.low);
	}

}
