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
	 * @param to the endpoint; any other endpoint at its address must refuse the request
	 * @param request the request
	 * @param listener receives the response or the failure
	 * @return the exchange
	 */
	BackendExchange send(Backend to, OutgoingRequest request, BackendListener listener);

	/**
	 * A request in progress at an endpoint.
	 */
	interface BackendExchange {

		/**
		 * Cancels the exchange and closes its connection, so that the endpoint drops the
		 * request. The listener isn't called any more.
		 */
		void cancel();

		/**
		 * Ends the exchange without interest in the rest of its response. The connection
		 * may be used again if that is short. The listener isn't called any more.
		 */
		void skipRest();

		/**
		 * Sets whether to read the response.
		 * @param on false while the caller doesn't read
		 */
		void setReading(boolean on);

		/**
		 * Returns what was read for this exchange.
		 * @return the trace, also after the exchange has ended
		 */
		ExchangeTrace trace();

	}

}
