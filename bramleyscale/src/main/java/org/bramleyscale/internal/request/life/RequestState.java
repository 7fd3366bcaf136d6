package org.bramleyscale.internal.request.life;

/**
 * The lifecycle state of a request.
 */
public enum RequestState {

	/** The request was received from its caller. */
	RECEIVED,

	/** The request was admitted. */
	ADMITTED,

	/** The request waits for an endpoint, initially or after a lost attempt. */
	QUEUED,

	/** An attempt was sent to an endpoint. */
	STARTED,

	/** Part of the answer has been received. */
	STREAMING,

	/** The request has its outcome. */
	ENDED

}
