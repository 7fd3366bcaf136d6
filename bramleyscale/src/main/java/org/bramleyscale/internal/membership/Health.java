package org.bramleyscale.internal.membership;

/**
 * State of one incarnation as found by failure detection. Among claims of the same
 * version the later constant wins.
 */
enum Health {

	/** It is responsive. */
	ALIVE,

	/** Neither its monitor nor the helpers that were asked could reach it. */
	SUSPECT,

	/**
	 * It stayed unresponsive and a quorum confirmed that, or its VM was removed from the
	 * platform's list.
	 */
	DEAD

}
