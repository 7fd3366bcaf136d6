package org.bramleyscale.internal.endpoint;

/**
 * An order to an engine to reach a desired state; repeating it changes nothing.
 *
 * @param kind what shall change
 * @param desired the desired value: a model, adapter or version name, or a role
 * @param fence the lease number of who orders; an engine that checks it refuses smaller
 * numbers than it has seen
 */
public record EngineOrder(Kind kind, String desired, long fence) {

	/**
	 * What an order changes.
	 */
	public enum Kind {

		/** Have the model loaded. */
		LOAD_MODEL,

		/** Have the adapter loaded. */
		LOAD_ADAPTER,

		/** Have the model not loaded. */
		UNLOAD_MODEL,

		/** Take the role. */
		SET_ROLE

	}

}
