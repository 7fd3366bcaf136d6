package org.bramleyscale.internal.gateway.request;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Splits a byte stream into complete events.
 *
 * <p>
 * An endpoint may crash in the middle of an event. If the partial event were relayed,
 * resuming the stream on another endpoint would join fragments of two runs, so only
 * complete events are returned. Invariant: each byte is searched for the end of an event
 * once, however many pieces an event arrives in. Not safe for use by multiple threads.
 */
final class EventSplitter {

	private static final String ID = "id:";

	private byte[] pending = new byte[0];

	private int length;

	/** The position up to which the pending bytes have been searched. */
	private int searched;

	private int lineStart;

	/** Whether a line of the pending event isn't empty. */
	private boolean begun;

	/**
	 * Appends bytes.
	 * @param data the bytes
	 * @return the events that they complete
	 */
	List<Event> append(byte[] data) {
		if (this.length + data.length > this.pending.length) {
			this.pending = Arrays.copyOf(this.pending, Math.max(this.length + data.length, 2 * this.length));
		}
		System.arraycopy(data, 0, this.pending, this.length, data.length);
		this.length += data.length;
		List<Event> events = new ArrayList<>();
		int start = 0;
		for (int end = endOfEvent(); end >= 0; end = endOfEvent()) {
			byte[] event = Arrays.copyOfRange(this.pending, start, end);
			events.add(new Event(id(event), event));
			start = end;
		}
		if (start > 0) {
			this.pending = Arrays.copyOfRange(this.pending, start, this.length);
			this.length -= start;
			this.searched -= start;
			this.lineStart -= start;
		}
		return events;
	}

	/**
	 * Returns the number of bytes after the last complete event.
	 * @return the number
	 */
	int pendingBytes() {
		return this.length;
	}

	/**
	 * Returns the bytes after the last complete event.
	 * @return the bytes, possibly none
	 */
	byte[] remainder() {
		return Arrays.copyOf(this.pending, this.length);
	}

	/**
	 * Whether an event has begun and isn't complete. Line ends between events belong to
	 * none.
	 * @return true if bytes of an incomplete event have arrived
	 */
	boolean insideEvent() {
		for (int i = 0; i < this.length; i++) {
			if (this.pending[i] != '\r' && this.pending[i] != '\n') {
				return true;
			}
		}
		return false;
	}

	/**
	 * Finds the end of the empty line that terminates the pending event. Empty lines
	 * before an event are taken for a part of it.
	 * @return the position after the empty line, or -1 if it hasn't arrived yet
	 */
	private int endOfEvent() {
		while (this.searched < this.length) {
			int position = this.searched++;
			if (this.pending[position] == '\n') {
				boolean empty = position == this.lineStart
						|| (position == this.lineStart + 1 && this.pending[this.lineStart] == '\r');
				boolean ends = empty && this.begun;
				this.begun = !ends && (this.begun || !empty);
				this.lineStart = position + 1;
				if (ends) {
					return position + 1;
				}
			}
		}
		return -1;
	}

	private static String id(byte[] event) {
		for (String line : new String(event, StandardCharsets.UTF_8).split("\n")) {
			if (line.startsWith(ID)) {
				return line.substring(ID.length()).strip();
			}
		}
		return null;
	}

	/**
	 * A complete event.
	 *
	 * @param id its id, or null if it has none
	 * @param bytes its bytes, including the empty line that ends it
	 */
	record Event(String id, byte[] bytes) {

		/**
		 * Whether this event comes after another one.
		 * @param lastId the other event's id, or null
		 * @return false if both ids are numbers and this one is not greater
		 */
		boolean isAfter(String lastId) {
			try {
				return lastId == null || this.id == null || Long.parseLong(this.id) > Long.parseLong(lastId);
			}
			catch (NumberFormatException ex) {
				// Ids that aren't numbers can't be compared; the endpoint's order is
				// trusted.
				return true;
			}
		}

	}

}
