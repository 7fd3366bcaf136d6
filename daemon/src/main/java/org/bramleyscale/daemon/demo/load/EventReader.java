package org.bramleyscale.daemon.demo.load;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.BiConsumer;

import com.google.common.primitives.Bytes;

/**
 * Cuts a stream of bytes into server-sent events.
 *
 * <p>
 * Bytes may arrive cut anywhere, also within a character. Comments are dropped. Confined
 * to one thread.
 */
final class EventReader {

	private static final byte NEW_LINE = '\n';

	private final BiConsumer<String, String> events;

	private byte[] rest = {};

	private String event = "";

	private String data = "";

	/**
	 * Creates a reader.
	 * @param events takes the name, which is empty if none is given, and the data of each
	 * event
	 */
	EventReader(BiConsumer<String, String> events) {
		this.events = events;
	}

	void take(byte[] bytes) {
		byte[] all = (this.rest.length > 0) ? Bytes.concat(this.rest, bytes) : bytes;
		int start = 0;
		for (int i = this.rest.length; i < all.length; i++) {
			if (all[i] == NEW_LINE) {
				line(new String(all, start, i - start, StandardCharsets.UTF_8));
				start = i + 1;
			}
		}
		this.rest = Arrays.copyOfRange(all, start, all.length);
	}

	private void line(String line) {
		if (line.isEmpty()) {
			dispatch();
		}
		else if (line.startsWith("event:")) {
			this.event = line.substring("event:".length()).strip();
		}
		else if (line.startsWith("data:")) {
			this.data = line.substring("data:".length()).strip();
		}
	}

	private void dispatch() {
		if (!this.data.isEmpty()) {
			this.events.accept(this.event, this.data);
		}
		this.event = "";
		this.data = "";
	}

}
