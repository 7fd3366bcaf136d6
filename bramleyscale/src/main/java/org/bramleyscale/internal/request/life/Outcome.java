package org.bramleyscale.internal.request.life;

/**
 * The final outcome of a request.
 */
public enum Outcome {

	/** The complete answer was received. */
	COMPLETED,

	/** The request was admitted but did not complete. */
	FAILED,

	/** The request was not admitted. */
	REFUSED

}
