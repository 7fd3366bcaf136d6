package org.bramleyscale.internal.gateway.reachability;

/**
 * The outcome of an attempt to connect to an endpoint.
 */
public enum ConnectionOutcome {

	/** The connection was established. */
	ACCEPTED,

	/** Something on the way or at the address refused it. */
	REFUSED,

	/** It was not established in time, or failed in another way. */
	FAILED

}
