package org.bramleyscale.internal.request.answer;

/**
 * What became of a piece offered to an answer.
 */
public enum Offer {

	/** It extended the answer, if need be without what was there already. */
	ADDED,

	/** All of it was there already. */
	DUPLICATE,

	/** Something before it is missing. */
	GAP

}
