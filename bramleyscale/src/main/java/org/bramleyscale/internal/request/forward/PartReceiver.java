package org.bramleyscale.internal.request.forward;

import java.io.ByteArrayOutputStream;

/**
 * Reassembles content sent by a {@link PartSender}.
 *
 * <p>
 * Invariant: parts are accepted in order, each once. Memory grows with the bytes received
 * and not with the declared length. Not safe for use by multiple threads.
 */
final class PartReceiver {

	private final int length;

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private int parts;

	PartReceiver(int length) {
		this.length = length;
	}

	/**
	 * Accepts the next part.
	 * @param index the index of the part, from 0
	 * @param part the content of the part
	 * @return false if it is not the next part or exceeds the declared length
	 */
	boolean accept(int index, byte[] part) {
		if (index != this.parts || this.bytes.size() + part.length > this.length) {
			return false;
		}
		this.bytes.writeBytes(part);
		this.parts++;
		return true;
	}

	int parts() {
		return this.parts;
	}

	boolean complete() {
		return this.bytes.size() == this.length;
	}

	byte[] content() {
		return this.bytes.toByteArray();
	}

}
