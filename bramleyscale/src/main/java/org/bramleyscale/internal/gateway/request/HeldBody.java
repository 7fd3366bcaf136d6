package org.bramleyscale.internal.gateway.request;

import java.util.ArrayList;
import java.util.List;

/**
 * The body of a response that is held to its end.
 *
 * <p>
 * It is kept in blocks: one array that grows by copies would need up to three times its
 * size, and the pieces as they arrive many times it if they are short. Not safe for use
 * by multiple threads.
 */
final class HeldBody {

	private static final int MIN_BLOCK_BYTES = 8_192;

	private final List<byte[]> blocks = new ArrayList<>();

	/** The bytes used of the last block; the others are full. */
	private int used;

	private int size;

	void add(byte[] piece) {
		int position = 0;
		while (position < piece.length) {
			if (this.blocks.isEmpty() || this.used == last().length) {
				this.blocks.add(new byte[Math.max(MIN_BLOCK_BYTES, piece.length - position)]);
				this.used = 0;
			}
			int count = Math.min(last().length - this.used, piece.length - position);
			System.arraycopy(piece, position, last(), this.used, count);
			this.used += count;
			position += count;
		}
		this.size += piece.length;
	}

	int size() {
		return this.size;
	}

	byte[] toByteArray() {
		byte[] body = new byte[this.size];
		int position = 0;
		for (byte[] block : this.blocks) {
			int count = Math.min(block.length, this.size - position);
			System.arraycopy(block, 0, body, position, count);
			position += count;
		}
		return body;
	}

	void clear() {
		this.blocks.clear();
		this.used = 0;
		this.size = 0;
	}

	private byte[] last() {
		return this.blocks.get(this.blocks.size() - 1);
	}

}
