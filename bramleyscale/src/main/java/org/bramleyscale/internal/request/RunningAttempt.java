package org.bramleyscale.internal.request;

/**
 * An attempt in flight.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
interface RunningAttempt {

	/**
	 * Returns the name of the endpoint.
	 * @return the name, as used in errors
	 */
	String peer();

	/**
	 * Stops reading, and cancels the work at the endpoint where that is possible.
	 */
	void abandon();

}
