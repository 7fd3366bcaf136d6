package org.bramleyscale.internal.gateway.backend;

/**
 * Which endpoints take requests.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface EndpointPresence {

	/**
	 * Whether an endpoint is on the list as it was, and takes requests.
	 * @param backend the endpoint as it was known
	 * @return false if it drains, is gone, or has started again
	 */
	boolean offers(Backend backend);

	/**
	 * Takes an endpoint's own word that it leaves.
	 * @param endpoint the endpoint
	 */
	void leaves(EndpointStart endpoint);

}
