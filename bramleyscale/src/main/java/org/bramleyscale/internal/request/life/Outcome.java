package org.bramleyscale.internal.request.life;

/**
 * How a request ended.
 */
public enum Outcome {

	/** Its whole answer is there. */
	COMPLETED,

	/** It was admitted and did not complete. */
	FAILED,

	/** It was never admitted. */
	REFUSED

}
