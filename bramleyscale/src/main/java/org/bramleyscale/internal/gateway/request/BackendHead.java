package org.bramleyscale.internal.gateway.request;

import java.util.List;
import java.util.Optional;

import org.bramleyscale.internal.gateway.backend.EndpointNotice;

/**
 * The status and headers of an endpoint's response.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param status the status
 * @param headers the end-to-end headers, to be returned unchanged
 * @param notRun true if the endpoint guarantees that it didn't run the request
 * @param genuine true if the response bears the endpoint's signature and no foreign
 * encoding
 * @param events true if the body is a stream of events
 * @param notice what the endpoint reports about itself; {@link EndpointNotice#NONE} where
 * another endpoint responds at its address
 * @param atFault the address of the endpoint that caused this one to refuse
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
