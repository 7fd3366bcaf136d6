package org.bramleyscale.internal.request;

import org.bramleyscale.ServingException;

/**
 * Receives the dispatcher's decisions.
 *
 * <p>
 * Called on the scheduler's thread.
 */
interface DispatchListener {

	/**
	 * Called when a request has its assignment and is to be sent.
	 * @param record the request
	 */
	void start(RequestRecord record);

	/**
	 * Called when no endpoint is left for the retry of a request.
	 * @param record the request
	 */
	void noEndpoint(RequestRecord record);

	void reservationFailed(RequestRecord record, ServingException failure);

}
