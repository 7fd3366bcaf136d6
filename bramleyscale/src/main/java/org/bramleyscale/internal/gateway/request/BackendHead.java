package org.bramleyscale.internal.gateway.request;

import java.util.List;
import java.util.Optional;

import org.bramleyscale.internal.gateway.backend.EndpointNotice;

/**
 * The head of an endpoint's answer.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param status the status
 * @param headers the end-to-end headers, to be returned unchanged
 * @param notRun true if the endpoint vouches that it didn't run the request
 * @param genuine true if it bears the endpoint's signature and no foreign encoding
 * @param events true if the body is a series of events
 * @param notice what the endpoint says of itself; nothing where another endpoint answers
 * at its address
 * @param atFault the address of the endpoint because of which this one refused
 */
public record BackendHead(int status, List<Header> headers, boolean notRun, boolean genuine, boolean events,
		EndpointNotice notice, Optional<String> atFault) {

	private static final int FIRST_SUCCESS = 200;

	private static final int FIRST_REDIRECT = 300;

	private static final int FIRST_FAILURE = 500;

	public boolean success() {
		return this.status >= FIRST_SUCCESS && this.status < FIRST_REDIRECT;
	}

	public boolean failure() {
		return this.status >= FIRST_FAILURE;
	}

}
