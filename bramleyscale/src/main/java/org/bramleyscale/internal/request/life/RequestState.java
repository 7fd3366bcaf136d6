package org.bramleyscale.internal.request.life;

/**
 * Where a request is in its life.
 */
public enum RequestState {

	/** It was read from its caller. */
	RECEIVED,

	/** Admission took it. */
	ADMITTED,

	/** It waits for an endpoint, at first or again after a lost attempt. */
	QUEUED,

	/** It was sent to an endpoint. */
	STARTED,

	/** Part of its answer has arrived. */
	STREAMING,

	/** It has its outcome. */
	ENDED

}
