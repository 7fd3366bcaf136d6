package org.bramleyscale.internal.gateway.request;

/**
 * Handles callers' requests.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface CallerRequestHandler {

	/**
	 * Handles a request.
	 * @param request the request
	 * @param reply the response to the caller, used once
	 * @return the request
	 */
	HandledRequest handle(CallerRequest request, CallerReply reply);

}
