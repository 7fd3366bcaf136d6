package org.bramleyscale.internal.steward;

/**
 * What became of an order.
 */
public enum OrderOutcome {

	/** The endpoint accepted it. */
	ACCEPTED,

	/** It wasn't sent, since the lease is no longer held. */
	NOT_HELD,

	/** It wasn't sent, since a late order of an earlier holder may still arrive. */
	TOO_EARLY,

	/** The endpoint has seen a later holder. */
	FENCED_OFF,

	/** It was refused, or its fate is unknown. */
	FAILED

}
