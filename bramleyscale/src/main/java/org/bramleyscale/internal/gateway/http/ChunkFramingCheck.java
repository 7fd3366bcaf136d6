package org.bramleyscale.internal.gateway.http;

import io.netty.buffer.ByteBuf;

/**
 * Checks that the chunks of one body can be read in one way only.
 *
 * <p>
 * Invariant: once a byte wasn't accepted, none is. Confined to one thread.
 */
final class ChunkFramingCheck {

	/** As many digits as fit into a positive int. */
	private static final int MAX_SIZE_DIGITS = 7;

	private static final int HEXADECIMAL = 16;

	private static final int DELETE = 0x7f;

	private State state = State.SIZE;

	private int digits;

	private int remaining;

	private final StringBuilder trailer = new StringBuilder();

	/**
	 * Checks the next bytes of the body, and none behind its end.
	 * @param bytes holds the bytes
	 * @param start the index of the first one
	 * @param length their number
	 * @return whether they, and all before them, are exact
	 */
	boolean accepts(ByteBuf bytes, int start, int length) {
		int end = start + length;
		int index = start;
		while (index < end && this.state != State.FAULTY && this.state != State.DONE) {
			if (this.state == State.DATA) {
				int skipped = Math.min(this.remaining, end - index);
				this.remaining -= skipped;
				index += skipped;
				if (this.remaining == 0) {
					this.state = State.DATA_RETURN;
				}
			}
			else {
				this.state = next(bytes.getByte(index++));
			}
		}
		return this.state != State.FAULTY;
	}

	private State next(byte value) {
		return switch (this.state) {
			case SIZE -> size(value);
			case EXTENSION -> (value == '\r') ? State.SIZE_END : isText(value) ? State.EXTENSION : State.FAULTY;
			case SIZE_END -> sizeEnd(value);
			case DATA_RETURN -> (value == '\r') ? State.DATA_END : State.FAULTY;
			case DATA_END -> (value == '\n') ? State.SIZE : State.FAULTY;
			case TRAILER -> trailer(value);
			case TRAILER_END -> trailerEnd(value);
			default -> State.FAULTY;
		};
	}

	private State size(byte value) {
		int digit = Character.digit(value, HEXADECIMAL);
		if (digit >= 0 && this.digits < MAX_SIZE_DIGITS) {
			this.digits++;
			this.remaining = this.remaining * HEXADECIMAL + digit;
			return State.SIZE;
		}
		if (this.digits == 0) {
			return State.FAULTY;
		}
		return (value == '\r') ? State.SIZE_END : (value == ';') ? State.EXTENSION : State.FAULTY;
	}

	private State sizeEnd(byte value) {
		this.digits = 0;
		if (value != '\n') {
			return State.FAULTY;
		}
		return (this.remaining > 0) ? State.DATA : State.TRAILER;
	}

	private State trailer(byte value) {
		if (value == '\r') {
			return State.TRAILER_END;
		}
		this.trailer.append((char) (value & 0xff));
		return (value == '\n') ? State.FAULTY : State.TRAILER;
	}

	private State trailerEnd(byte value) {
		if (value != '\n') {
			return State.FAULTY;
		}
		if (this.trailer.length() == 0) {
			return State.DONE;
		}
		boolean field = RequestHeadCheck.isField(this.trailer.toString());
		this.trailer.setLength(0);
		return field ? State.TRAILER : State.FAULTY;
	}

	private static boolean isText(byte value) {
		return value == '\t' || value < 0 || (value >= ' ' && value != DELETE);
	}

	/**
	 * What the next byte belongs to.
	 */
	private enum State {

		SIZE, EXTENSION, SIZE_END, DATA, DATA_RETURN, DATA_END, TRAILER, TRAILER_END, DONE, FAULTY

	}

}
