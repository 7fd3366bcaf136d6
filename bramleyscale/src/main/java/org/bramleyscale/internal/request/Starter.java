package org.bramleyscale.internal.request;

import org.bramleyscale.ServingException;

/**
 * Takes what the dispatcher decides.
 *
 * <p>
 * Called on the scheduler's thread.
 */
interface Starter {

	/**
	 * The request has its place and shall be sent.
	 * @param record the request
	 */
	void start(RequestRecord record);

	/**
	 * No endpoint is left for a request that would have been retried.
	 * @param record the request
	 */
	void noEndpoint(RequestRecord record);

	void reservationFailed(RequestRecord record, ServingException failure);

}
