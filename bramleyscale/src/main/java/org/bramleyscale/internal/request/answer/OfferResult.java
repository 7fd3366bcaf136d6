package org.bramleyscale.internal.request.answer;

/**
 * The result of offering a piece to an {@link AnswerLog}.
 */
public enum OfferResult {

	/** The piece extended the answer; tokens already present were skipped. */
	ADDED,

	/** All tokens of the piece were already present. */
	DUPLICATE,

	/**
	 * The piece can't be appended: tokens before it are missing, or it does not line up
	 * with the pieces already present.
	 */
	GAP

}
