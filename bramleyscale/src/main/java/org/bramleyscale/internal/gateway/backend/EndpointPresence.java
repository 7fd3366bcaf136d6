package org.bramleyscale.internal.gateway.backend;

/**
 * Knows which endpoints accept requests.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface EndpointPresence {

	/**
	 * Whether the same start of an endpoint is still on the list and accepts requests.
	 * @param backend the endpoint as last known
	 * @return false if it is draining, was removed, or has restarted
	 */
	boolean acceptsRequests(Backend backend);

	/**
	 * Records an endpoint's announcement that it is leaving.
	 * @param endpoint the endpoint
	 */
	void announceLeaving(EndpointStart endpoint);

}
