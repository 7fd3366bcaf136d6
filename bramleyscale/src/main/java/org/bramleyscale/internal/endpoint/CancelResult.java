package org.bramleyscale.internal.endpoint;

/**
 * What an engine says when asked to cancel an attempt.
 */
public enum CancelResult {

	/** It never heard of the attempt and will refuse it from now on. */
	NEVER_STARTED,

	/** It had begun and has stopped; its memory is free. */
	STOPPED,

	/** It had already finished. */
	FINISHED

}
