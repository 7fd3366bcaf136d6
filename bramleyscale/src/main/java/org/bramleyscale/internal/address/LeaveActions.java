package org.bramleyscale.internal.address;

/**
 * What a planned stop does to the rest of the daemon.
 *
 * <p>
 * Called on the scheduler's thread.
 */
public interface LeaveActions {

	/**
	 * Marks this daemon as leaving and spreads the mark.
	 */
	void announce();

	/**
	 * Stops taking new requests; running ones go on.
	 */
	void refuseNew();

	/**
	 * How many requests have not ended.
	 * @return their number
	 */
	int unfinished();

	/**
	 * Ends the daemon.
	 * @param complete false if the limit was reached with requests unfinished
	 */
	void end(boolean complete);

}
