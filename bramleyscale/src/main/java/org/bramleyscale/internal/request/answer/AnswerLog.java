package org.bramleyscale.internal.request.answer;

import java.util.Arrays;

/**
 * An append-only log of the pieces of a generated answer, indexed by token offset.
 *
 * <p>
 * Invariant: pieces are contiguous from offset 0 and immutable once added, regardless of
 * what is offered and in which order. Pieces are stored in one buffer and two arrays
 * because a daemon retains thousands of ended answers for a while; one object per token
 * would take ten times the memory of its text. Not safe for use by multiple threads.
 */
public final class AnswerLog {

	private static final int INITIAL_CAPACITY = 16;

	private static final int BASE_BYTES = 160;

	private static final int BYTES_PER_PIECE = 2 * Integer.BYTES;

	private final StringBuilder text = new StringBuilder();

	private int[] tokenEnds = new int[INITIAL_CAPACITY];

	private int[] textEnds = new int[INITIAL_CAPACITY];

	private int pieces;

	/**
	 * Offers a piece, which is added if it extends the answer.
	 * @param offset the offset of its first token
	 * @param tokens the number of tokens in it
	 * @param pieceText the text of the tokens
	 * @return whether the piece was added, and if not, why
	 */
	public OfferResult offer(long offset, int tokens, String pieceText) {
		long next = next();
		if (offset > next) {
			return OfferResult.GAP;
		}
		if (tokens <= 0 || offset + tokens <= next) {
			return OfferResult.DUPLICATE;
		}
		if (offset == next) {
			append(next + tokens, pieceText);
			return OfferResult.ADDED;
		}
		return offerOverlap(offset, offset + tokens, pieceText);
	}

	/**
	 * Returns the offset of the next token to be added.
	 * @return the number of tokens in the log
	 */
	public long next() {
		return (this.pieces != 0) ? this.tokenEnds[this.pieces - 1] : 0;
	}

	public int pieces() {
		return this.pieces;
	}

	/**
	 * Returns the index of the piece that begins at an offset.
	 * @param offset the offset
	 * @return the index, the number of pieces for the end of the answer, or -1 if no
	 * piece begins there
	 */
	public int indexAt(long offset) {
		if (offset == 0) {
			return 0;
		}
		if (offset < 0 || offset > next()) {
			return -1;
		}
		int index = Arrays.binarySearch(this.tokenEnds, 0, this.pieces, (int) offset);
		return (index >= 0) ? index + 1 : -1;
	}

	public AnswerPiece piece(int index) {
		return range(index, index + 1);
	}

	/**
	 * Merges a range of pieces into one piece.
	 * @param from the index of the first piece, inclusive
	 * @param to the index of the last piece, exclusive
	 * @return one piece with their tokens and text
	 */
	public AnswerPiece range(int from, int to) {
		int firstToken = (from != 0) ? this.tokenEnds[from - 1] : 0;
		int firstChar = (from != 0) ? this.textEnds[from - 1] : 0;
		String rangeText = this.text.substring(firstChar, this.textEnds[to - 1]);
		return new AnswerPiece(firstToken, this.tokenEnds[to - 1] - firstToken, rangeText);
	}

	public int textLength() {
		return this.text.length();
	}

	/**
	 * Returns the length of the text of a range of pieces.
	 * @param from the index of the first piece, inclusive
	 * @param to the index of the last piece, exclusive
	 * @return the length in characters
	 */
	public int textLength(int from, int to) {
		int first = (from != 0) ? this.textEnds[from - 1] : 0;
		return (to > from) ? this.textEnds[to - 1] - first : 0;
	}

	public String text() {
		return this.text.toString();
	}

	/**
	 * Releases spare capacity once the answer has ended.
	 */
	public void trim() {
		this.text.trimToSize();
		this.tokenEnds = Arrays.copyOf(this.tokenEnds, this.pieces);
		this.textEnds = Arrays.copyOf(this.textEnds, this.pieces);
	}

	/**
	 * Estimates the memory taken by this log.
	 * @return the size in bytes
	 */
	public long bytes() {
		return BASE_BYTES + this.text.length() + (long) this.tokenEnds.length * BYTES_PER_PIECE;
	}

	private OfferResult offerOverlap(long offset, long end, String pieceText) {
		int index = indexAt(offset);
		if (index < 0) {
			return OfferResult.GAP;
		}
		int existingLength = this.text.length() - ((index != 0) ? this.textEnds[index - 1] : 0);
		String existing = this.text.substring(this.text.length() - existingLength);
		if (!pieceText.startsWith(existing)) {
			// The piece repeats tokens with different text or splits one. Appending its
			// remainder would leave duplicate or missing characters in the answer;
			// resuming at the next offset avoids that.
			return OfferResult.GAP;
		}
		append(end, pieceText.substring(existingLength));
		return OfferResult.ADDED;
	}

	private void append(long end, String pieceText) {
		if (this.pieces == this.tokenEnds.length) {
			int capacity = Math.max(INITIAL_CAPACITY, 2 * this.pieces);
			this.tokenEnds = Arrays.copyOf(this.tokenEnds, capacity);
			this.textEnds = Arrays.copyOf(this.textEnds, capacity);
		}
		this.text.append(pieceText);
		this.tokenEnds[this.pieces] = Math.toIntExact(end);
		this.textEnds[this.pieces] = this.text.length();
		this.pieces++;
	}

}
