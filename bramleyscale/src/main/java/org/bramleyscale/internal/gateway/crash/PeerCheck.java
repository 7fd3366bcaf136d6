package org.bramleyscale.internal.gateway.crash;

import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * Asks other daemons whether they can connect to an endpoint.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
@FunctionalInterface
public interface PeerCheck {

	/**
	 * Asks peers, some of which may have another path than this daemon.
	 * @param endpoint the endpoint
	 * @param accepted called at most once, if the endpoint accepts a peer's connection
	 * before another process can have started at its address; no call tells nothing
	 */
	void ask(EndpointStart endpoint, Runnable accepted);

}
