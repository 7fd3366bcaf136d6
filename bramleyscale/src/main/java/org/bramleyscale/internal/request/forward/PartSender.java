package org.bramleyscale.internal.request.forward;

import java.util.Arrays;
import java.util.function.Predicate;

/**
 * Sends something long in parts, with a bounded number of them under way.
 *
 * <p>
 * A prompt of megabytes in one frame would pass the peer network's bound, and all its
 * parts at once would hold up the heartbeats and short requests of the same connection.
 * Not safe for use by multiple threads.
 */
final class PartSender {

	static final int PART_BYTES = 32 * 1024;

	static final int MOST_UNDER_WAY = 8;

	private final byte[] whole;

	private int sent = 1;

	private int taken;

	PartSender(byte[] whole) {
		this.whole = whole;
	}

	int length() {
		return this.whole.length;
	}

	byte[] first() {
		return part(0);
	}

	boolean allSent() {
		return (long) this.sent * PART_BYTES >= this.whole.length;
	}

	/**
	 * Notes what the receiver has taken.
	 * @param parts parts taken, the first one included
	 */
	void taken(int parts) {
		this.taken = Math.max(this.taken, Math.min(parts, this.sent));
	}

	/**
	 * Sends as many further parts as may be under way.
	 * @param send sends the part of an index; false if it couldn't
	 * @return false if a part couldn't be sent
	 */
	boolean pump(Predicate<Part> send) {
		while (!allSent() && this.sent - this.taken < MOST_UNDER_WAY) {
			if (!send.test(new Part(this.sent, part(this.sent)))) {
				return false;
			}
			this.sent++;
		}
		return true;
	}

	private byte[] part(int index) {
		int from = index * PART_BYTES;
		int to = Math.min(this.whole.length, from + PART_BYTES);
		return Arrays.copyOfRange(this.whole, from, to);
	}

	/**
	 * One part.
	 *
	 * @param index its number, from 0
	 * @param bytes its content
	 */
	record Part(int index, byte[] bytes) {
	}

}
