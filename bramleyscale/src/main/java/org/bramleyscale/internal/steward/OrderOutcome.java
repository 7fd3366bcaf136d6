package org.bramleyscale.internal.steward;

/**
 * The outcome of an order.
 */
public enum OrderOutcome {

	/** The endpoint accepted the order. */
	ACCEPTED,

	/** The order wasn't sent, since the lease is no longer held. */
	NOT_HELD,

	/**
	 * The order wasn't sent, since a late order of an earlier holder may still arrive.
	 */
	TOO_EARLY,

	/**
	 * The endpoint rejected the order, since it has received an order of a later holder.
	 */
	FENCED_OFF,

	/** The order was refused for another reason, or its outcome is unknown. */
	FAILED

}
