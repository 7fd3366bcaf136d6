package org.bramleyscale.internal.request;

/**
 * The attempt of a request that is in flight.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
interface RunningAttempt {

	/**
	 * The name of the endpoint.
	 * @return the name, as errors give it
	 */
	String peer();

	/**
	 * Stops reading, and cancels the work at the endpoint where that is possible.
	 */
	void abandon();

}
