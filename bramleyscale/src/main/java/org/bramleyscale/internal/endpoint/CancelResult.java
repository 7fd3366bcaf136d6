package org.bramleyscale.internal.endpoint;

/**
 * The result of a request to an engine to cancel an attempt.
 */
public enum CancelResult {

	/** The engine has not received the attempt and refuses it from now on. */
	NEVER_STARTED,

	/** The engine had started the attempt and has stopped it; its memory is free. */
	STOPPED,

	/** The attempt had already finished. */
	FINISHED

}
