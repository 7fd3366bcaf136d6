package org.bramleyscale.internal.gateway.request;

import org.bramleyscale.internal.gateway.backend.Backend;

/**
 * Sends requests to endpoints.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface BackendClient {

	/**
	 * Sends a request.
	 * @param to the endpoint; any other one at its address must refuse the request
	 * @param request the request
	 * @param listener hears what becomes of it
	 * @return the exchange
	 */
	BackendExchange send(Backend to, OutgoingRequest request, BackendListener listener);

	/**
	 * A request under way at an endpoint.
	 */
	interface BackendExchange {

		/**
		 * Ends it, closing its connection so that the endpoint drops the request; the
		 * listener hears nothing more.
		 */
		void cancel();

		/**
		 * Sets whether the answer is read on.
		 * @param on false while the caller doesn't read
		 */
		void reading(boolean on);

	}

}
