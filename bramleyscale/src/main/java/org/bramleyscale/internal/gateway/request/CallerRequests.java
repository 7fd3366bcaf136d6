package org.bramleyscale.internal.gateway.request;

/**
 * Takes callers' requests.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface CallerRequests {

	/**
	 * Takes a request.
	 * @param request the request
	 * @param reply the way back to the caller, used once
	 * @return what to run when the caller has gone
	 */
	Runnable take(CallerRequest request, CallerReply reply);

}
