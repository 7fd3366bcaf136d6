package org.bramleyscale.internal.endpoint;

/**
 * An order to an engine to reach a desired state. Orders are idempotent.
 *
 * @param kind what the order changes
 * @param desired the desired value: a model, adapter or version name, or a role
 * @param fence the fencing token, which is the lease number of the sender; an engine that
 * checks fencing refuses numbers smaller than the largest it has received
 */
public record EngineOrder(Kind kind, String desired, long fence) {

	/**
	 * The state that an order changes.
	 */
	public enum Kind {

		/** Load the model. */
		LOAD_MODEL,

		/** Load the adapter. */
		LOAD_ADAPTER,

		/** Unload the model. */
		UNLOAD_MODEL,

		/** Assume the role. */
		SET_ROLE

	}

}
