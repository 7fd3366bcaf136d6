package org.bramleyscale.internal.request.forward;

import java.io.ByteArrayOutputStream;

/**
 * Puts together what a {@link PartSender} sends.
 *
 * <p>
 * Invariant: parts are taken in order, each once. Memory grows with what arrives and not
 * with what was announced. Not safe for use by multiple threads.
 */
final class PartReceiver {

	private final int length;

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private int parts;

	PartReceiver(int length) {
		this.length = length;
	}

	/**
	 * Takes the next part.
	 * @param index its number, from 0
	 * @param part its content
	 * @return false if it isn't the next, or is more than was announced
	 */
	boolean take(int index, byte[] part) {
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

	byte[] whole() {
		return this.bytes.toByteArray();
	}

}
