package org.bramleyscale.internal.request.answer;

import java.util.Arrays;

/**
 * The text of an answer with the token offsets at which its pieces begin.
 *
 * <p>
 * Invariant: pieces are contiguous from offset 0 and never change once added, whatever is
 * offered in whatever order. Pieces lie in one buffer and two arrays because a daemon
 * keeps thousands of ended answers for a while; an object for each token would take ten
 * times the memory of its text. Not safe for use by multiple threads.
 */
public final class AnswerLog {

	private static final int FIRST_SIZE = 16;

	private static final int FIXED_BYTES = 160;

	private static final int BYTES_PER_PIECE = 2 * Integer.BYTES;

	private final StringBuilder text = new StringBuilder();

	private int[] tokenEnds = new int[FIRST_SIZE];

	private int[] textEnds = new int[FIRST_SIZE];

	private int pieces;

	/**
	 * Offers a piece.
	 * @param offset the offset of its first token
	 * @param tokens how many tokens it holds
	 * @param pieceText the tokens' text
	 * @return what became of it
	 */
	public Offer offer(long offset, int tokens, String pieceText) {
		long next = next();
		if (offset > next) {
			return Offer.GAP;
		}
		if (tokens <= 0 || offset + tokens <= next) {
			return Offer.DUPLICATE;
		}
		if (offset == next) {
			append(next + tokens, pieceText);
			return Offer.ADDED;
		}
		return offerOverlap(offset, offset + tokens, pieceText);
	}

	/**
	 * The offset of the first token not yet here.
	 * @return the number of tokens
	 */
	public long next() {
		return (this.pieces != 0) ? this.tokenEnds[this.pieces - 1] : 0;
	}

	public int pieces() {
		return this.pieces;
	}

	/**
	 * The index of the piece that begins at an offset.
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
	 * Several pieces in one.
	 * @param from the index of the first
	 * @param to the index after the last
	 * @return one piece with their tokens and text
	 */
	public AnswerPiece range(int from, int to) {
		int firstToken = (from != 0) ? this.tokenEnds[from - 1] : 0;
		int firstChar = (from != 0) ? this.textEnds[from - 1] : 0;
		String part = this.text.substring(firstChar, this.textEnds[to - 1]);
		return new AnswerPiece(firstToken, this.tokenEnds[to - 1] - firstToken, part);
	}

	public int textLength() {
		return this.text.length();
	}

	/**
	 * How much text pieces hold.
	 * @param from the index of the first
	 * @param to the index after the last
	 * @return characters
	 */
	public int textLength(int from, int to) {
		int first = (from != 0) ? this.textEnds[from - 1] : 0;
		return (to > from) ? this.textEnds[to - 1] - first : 0;
	}

	public String text() {
		return this.text.toString();
	}

	/**
	 * Gives back spare memory once nothing more will come.
	 */
	public void trim() {
		this.text.trimToSize();
		this.tokenEnds = Arrays.copyOf(this.tokenEnds, this.pieces);
		this.textEnds = Arrays.copyOf(this.textEnds, this.pieces);
	}

	/**
	 * About how much memory this takes.
	 * @return bytes
	 */
	public long bytes() {
		return FIXED_BYTES + this.text.length() + (long) this.tokenEnds.length * BYTES_PER_PIECE;
	}

	private Offer offerOverlap(long offset, long end, String pieceText) {
		int index = indexAt(offset);
		if (index < 0) {
			return Offer.GAP;
		}
		int known = this.text.length() - ((index != 0) ? this.textEnds[index - 1] : 0);
		String there = this.text.substring(this.text.length() - known);
		if (!pieceText.startsWith(there)) {
			// The piece repeats tokens with another text, or cuts one apart. Appending
			// its end would put a seam into the answer that the caller sees as doubled
			// or missing letters; reading again from the next offset can't.
			return Offer.GAP;
		}
		append(end, pieceText.substring(known));
		return Offer.ADDED;
	}

	private void append(long end, String pieceText) {
		if (this.pieces == this.tokenEnds.length) {
			int size = Math.max(FIRST_SIZE, 2 * this.pieces);
			this.tokenEnds = Arrays.copyOf(this.tokenEnds, size);
			this.textEnds = Arrays.copyOf(this.textEnds, size);
		}
		this.text.append(pieceText);
		this.tokenEnds[this.pieces] = Math.toIntExact(end);
		this.textEnds[this.pieces] = this.text.length();
		this.pieces++;
	}

}
