package org.bramleyscale.internal.request.forward;

import java.util.Arrays;
import java.util.function.Predicate;

/**
 * Sends long content in parts, with a bounded number of parts in flight.
 *
 * <p>
 * A prompt of several megabytes would exceed the peer network's frame limit, and sending
 * all its parts at once would delay heartbeats and short requests on the same connection.
 * Not safe for use by multiple threads.
 */
final class PartSender {

	static final int PART_BYTES = 32 * 1024;

	static final int MAX_IN_FLIGHT = 8;

	private final byte[] content;

	private int sent = 1;

	private int acknowledged;

	PartSender(byte[] content) {
		this.content = content;
	}

	int length() {
		return this.content.length;
	}

	byte[] first() {
		return part(0);
	}

	boolean allSent() {
		return (long) this.sent * PART_BYTES >= this.content.length;
	}

	/**
	 * Records how many parts the receiver has acknowledged.
	 * @param parts the number of parts acknowledged, including the first
	 */
	void acknowledged(int parts) {
		this.acknowledged = Math.max(this.acknowledged, Math.min(parts, this.sent));
	}

	/**
	 * Sends further parts until the limit of parts in flight is reached.
	 * @param send sends a part and returns false if that failed
	 * @return false if sending a part failed
	 */
	boolean pump(Predicate<Part> send) {
		while (!allSent() && this.sent - this.acknowledged < MAX_IN_FLIGHT) {
			if (!send.test(new Part(this.sent, part(this.sent)))) {
				return false;
			}
			this.sent++;
		}
		return true;
	}

	private byte[] part(int index) {
		int from = index * PART_BYTES;
		int to = Math.min(this.content.length, from + PART_BYTES);
		return Arrays.copyOfRange(this.content, from, to);
	}

	/**
	 * One part of the content.
	 *
	 * @param index the index of the part, from 0
	 * @param bytes the content of the part
	 */
	record Part(int index, byte[] bytes) {
	}

}
