package org.bramleyscale.internal.gateway.request;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts a stream of events into whole events.
 *
 * <p>
 * An endpoint may die in the middle of an event. If the half were passed on, the stream
 * could not go on elsewhere without joining pieces of two runs. So only whole events
 * leave the splitter. Not safe for use by multiple threads.
 */
final class EventSplitter {

	private static final String ID = "id:";

	private final ByteArrayOutputStream pending = new ByteArrayOutputStream();

	/**
	 * Takes bytes.
	 * @param data the bytes
	 * @return the events that they complete
	 */
	List<Event> take(byte[] data) {
		this.pending.write(data, 0, data.length);
		byte[] all = this.pending.toByteArray();
		List<Event> events = new ArrayList<>();
		int begin = 0;
		for (int end = endOfEvent(all, begin); end >= 0; end = endOfEvent(all, begin)) {
			byte[] event = new byte[end - begin];
			System.arraycopy(all, begin, event, 0, event.length);
			events.add(new Event(id(event), event));
			begin = end;
		}
		this.pending.reset();
		this.pending.write(all, begin, all.length - begin);
		return events;
	}

	/**
	 * The bytes after the last whole event.
	 * @return the bytes, possibly none
	 */
	byte[] rest() {
		return this.pending.toByteArray();
	}

	/**
	 * Finds the empty line that ends an event.
	 * @param bytes the bytes
	 * @param from where the event begins
	 * @return the position after the empty line, or -1 if it isn't there yet
	 */
	private static int endOfEvent(byte[] bytes, int from) {
		int lineBegin = from;
		for (int i = from; i < bytes.length; i++) {
			if (bytes[i] == '\n') {
				boolean empty = i == lineBegin || (i == lineBegin + 1 && bytes[lineBegin] == '\r');
				if (empty) {
					return i + 1;
				}
				lineBegin = i + 1;
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
	 * One whole event.
	 *
	 * @param id its id, or null if it has none
	 * @param bytes its bytes, with the empty line that ends it
	 */
	record Event(String id, byte[] bytes) {

		/**
		 * Whether the event comes after another one.
		 * @param lastId the other's id, or null
		 * @return false if both ids are numbers and this one is not greater
		 */
		boolean isAfter(String lastId) {
			try {
				return lastId == null || this.id == null || Long.parseLong(this.id) > Long.parseLong(lastId);
			}
			catch (NumberFormatException ex) {
				// Ids that are no numbers can't be compared; the endpoint is trusted.
				return true;
			}
		}

	}

}
