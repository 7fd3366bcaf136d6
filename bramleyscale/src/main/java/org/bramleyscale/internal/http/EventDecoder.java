package org.bramleyscale.internal.http;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;

/**
 * Splits the bytes of a stream into server-sent events.
 *
 * <p>
 * Each event has an {@code event} line and one {@code data} line, as engines write them;
 * comments are skipped. Invariant: an event is passed on once, when its blank line has
 * arrived, however the bytes were cut on their way. Confined to one thread.
 */
final class EventDecoder {

	private static final int FIRST_CAPACITY = 1024;

	private static final byte LINE_END = '\n';

	private static final byte[] EVENT = "event: ".getBytes(StandardCharsets.UTF_8);

	private static final byte[] DATA = "data: ".getBytes(StandardCharsets.UTF_8);

	private final int largestEvent;

	private final Sink sink;

	private byte[] bytes = new byte[FIRST_CAPACITY];

	private int length;

	private int scanned;

	EventDecoder(int largestEvent, Sink sink) {
		this.largestEvent = largestEvent;
		this.sink = sink;
	}

	/**
	 * Takes more bytes.
	 * @param more the bytes
	 * @throws IOException if they aren't events that the sink understands
	 */
	void feed(ByteBuf more) throws IOException {
		int count = more.readableBytes();
		if (this.length + count > this.largestEvent) {
			throw new IOException("an event is larger than " + this.largestEvent + " bytes");
		}
		if (this.length + count > this.bytes.length) {
			this.bytes = Arrays.copyOf(this.bytes, Math.max(this.length + count, 2 * this.bytes.length));
		}
		more.readBytes(this.bytes, this.length, count);
		this.length += count;
		split();
	}

	private void split() throws IOException {
		int start = 0;
		for (int i = Math.max(1, this.scanned); i < this.length; i++) {
			if (this.bytes[i] == LINE_END && this.bytes[i - 1] == LINE_END) {
				decode(start, i);
				start = i + 1;
			}
		}
		this.length -= start;
		System.arraycopy(this.bytes, start, this.bytes, 0, this.length);
		this.scanned = this.length;
	}

	private void decode(int start, int end) throws IOException {
		String name = "";
		int line = start;
		for (int i = start; i < end; i++) {
			if (this.bytes[i] != LINE_END) {
				continue;
			}
			if (startsWith(EVENT, line, i)) {
				name = new String(this.bytes, line + EVENT.length, i - line - EVENT.length, StandardCharsets.UTF_8);
			}
			else if (startsWith(DATA, line, i)) {
				this.sink.event(name, this.bytes, line + DATA.length, i - line - DATA.length);
			}
			line = i + 1;
		}
	}

	private boolean startsWith(byte[] field, int from, int to) {
		return to - from >= field.length
				&& Arrays.equals(this.bytes, from, from + field.length, field, 0, field.length);
	}

	/**
	 * Takes events.
	 */
	interface Sink {

		/**
		 * Takes one event.
		 * @param name the event's name
		 * @param bytes holds the data; changes after the call
		 * @param offset where the data begins
		 * @param length how long the data is
		 * @throws IOException if the data can't be understood
		 */
		void event(String name, byte[] bytes, int offset, int length) throws IOException;

	}

}
