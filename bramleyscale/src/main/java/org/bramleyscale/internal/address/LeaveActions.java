package org.bramleyscale.internal.address;

/**
 * The effects of a planned stop on the rest of the daemon.
 *
 * <p>
 * Called on the scheduler's thread.
 */
public interface LeaveActions {

	/**
	 * Marks this daemon as leaving and propagates the mark to the other daemons.
	 */
	void announce();

	/**
	 * Stops accepting new requests; accepted ones continue.
	 */
	void refuseNew();

	/**
	 * The number of requests that have not ended.
	 * @return the number of requests
	 */
	int unfinished();

	/**
	 * Shuts the daemon down.
	 * @param complete false if the time limit was reached with requests unfinished
	 */
	void end(boolean complete);

}
