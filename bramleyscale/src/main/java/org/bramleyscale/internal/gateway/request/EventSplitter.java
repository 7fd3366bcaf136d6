package org.bramleyscale.internal.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a byte stream into complete events.
 *
 * <p>
 * An endpoint may crash in the middle of an event. If the partial event were relayed,
 * resuming the stream on another endpoint would join fragments of two runs, so only
 * complete events are returned. Not safe for use by multiple threads.
 */
final class EventSplitter {

	private static final String ID = "id:";

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	/**
	 * Appends bytes.
	 * @param data the bytes
	 * @return the events that they complete
	 */
	List<Event> append(byte[] data) {
		this.pending.write(data, 0, data.length);
		byte[] buffered = this.pending.toByteArray();
		List<Event> events = new ArrayList<>();
		int start = 0;
		for (int end = endOfEvent(buffered, start); end >= 0; end = endOfEvent(buffered, start)) {
			byte[] event = new byte[end - start];
			System.arraycopy(buffered, start, event, 0, event.length);
			events.add(new Event(id(event), event));
			start = end;
		}
		this.pending.reset();
		this.pending.write(buffered, start, buffered.length - start);
		return events;
	}

	/**
	 * Returns the bytes after the last complete event.
	 * @return the bytes, possibly none
	 */
	byte[] remainder() {
		return this.pending.toByteArray();
	}

	/**
	 * Whether an event has begun and isn't complete. Line ends between events belong to
	 * none.
	 * @return true if bytes of an incomplete event have arrived
	 */
	boolean insideEvent() {
		for (byte next : this.pending.toByteArray()) {
			if (next != '\r' && next != '\n') {
				return true;
			}
		}
		return false;
	}

	/**
	 * Finds the end of the empty line that terminates an event. Empty lines before an
	 * event are taken for a part of it.
	 * @param bytes the bytes
	 * @param from the start of the event
	 * @return the position after the empty line, or -1 if it hasn't arrived yet
	 */
	private static int endOfEvent(byte[] bytes, int from) {
		int lineStart = from;
		boolean begun = false;
		for (int i = from; i < bytes.length; i++) {
			if (bytes[i] == '\n') {
				boolean empty = i == lineStart || (i == lineStart + 1 && bytes[lineStart] == '\r');
				if (empty && begun) {
					return i + 1;
				}
				begun = begun || !empty;
				lineStart = i + 1;
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
