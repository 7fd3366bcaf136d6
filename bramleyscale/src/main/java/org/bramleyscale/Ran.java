package org.bramleyscale;

/**
 * Whether a request that did not complete ran at an endpoint.
 */
public enum Ran {

	/**
	 * Nothing was ever sent to an endpoint, or the endpoint vouched that it did not run.
	 */
	NO,

	/** An endpoint began to work on the request. */
	YES,

	/** The request may have run; nobody who can be asked knows. */
	UNKNOWN

}
