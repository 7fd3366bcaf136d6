package org.bramleyscale.internal.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashSet;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Finds the head of another response within the body of one.
 *
 * <p>
 * If an endpoint breaks a response off in its body and sends another one on the same
 * connection, the second one completes the first by its length. Bodies may quote status
 * lines, so a head counts only if one of its fields has the id of a request that the
 * connection has carried. Confined to the loop's thread.
 */
final class JoinedResponseDetector implements ByteProcessor {

	/** Requests whose late responses are recognised. */
	private static final int MAX_IDS = 64;

	/** Longer lines are no fields that hold an id. */
	private static final int MAX_LINE_LENGTH = 256;

	private final Set<String> ids = new LinkedHashSet<>();

	private final StatusLineFinder statusLine = new StatusLineFinder();

	private final byte[] line = new byte[MAX_LINE_LENGTH];

	private int lineLength;

	private boolean afterStatusLine;

	/**
	 * Adds a request whose responses may follow.
	 * @param id the id; nothing is added if it is empty
	 */
	void add(String id) {
		if (id.isEmpty()) {
			return;
		}
		this.ids.add(id);
		if (this.ids.size() > MAX_IDS) {
			this.ids.remove(this.ids.iterator().next());
		}
	}

	/**
	 * Starts with a new body.
	 */
	void reset() {
		this.statusLine.reset();
		this.afterStatusLine = false;
		this.lineLength = 0;
	}

	/**
	 * Whether a part of a body holds the head of another response.
	 * @param bytes holds the part, as it was read
	 * @param start the index of its first byte
	 * @param length its length
	 * @return true if one begins in it, or has begun in an earlier part
	 */
	boolean finds(ByteBuf bytes, int start, int length) {
		return bytes.forEachByte(start, length, this) >= 0;
	}

	/**
	 * Whether the bytes behind a body belong to a head that has begun within it.
	 * @param bytes holds the bytes behind the body
	 * @return true if so; false also if not enough of them have arrived
	 */
	boolean continuesIn(ByteBuf bytes) {
		return (this.afterStatusLine || this.statusLine.started())
				&& finds(bytes, bytes.readerIndex(), bytes.readableBytes());
	}

	@Override
	public boolean process(byte value) {
		if (this.statusLine.next(value)) {
			this.afterStatusLine = true;
			this.lineLength = 0;
		}
		if (!this.afterStatusLine) {
			return true;
		}
		if (value != '\n') {
			if (this.lineLength < MAX_LINE_LENGTH) {
				this.line[this.lineLength] = value;
			}
			this.lineLength++;
			return true;
		}
		boolean names = this.lineLength <= MAX_LINE_LENGTH && namesRequest();
		this.lineLength = 0;
		return !names;
	}

	private boolean namesRequest() {
		String field = new String(this.line, 0, this.lineLength, StandardCharsets.ISO_8859_1);
		if (field.isBlank()) {
			this.afterStatusLine = false;
			return false;
		}
		return this.ids.contains(field.substring(field.indexOf(':') + 1).strip());
	}

}
