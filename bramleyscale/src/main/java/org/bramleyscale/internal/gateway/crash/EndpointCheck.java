package org.bramleyscale.internal.gateway.crash;

import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.gateway.backend.Backend;

/**
 * Checks whether a process listens at an endpoint's address.
 */
public interface EndpointCheck {

	/**
	 * Tries to connect to an endpoint.
	 * @param endpoint the endpoint
	 * @return a future that completes on the scheduler's thread, with true only if the
	 * connection was refused: an endpoint that hangs or is unreachable doesn't refuse
	 * connections
	 */
	CompletableFuture<Boolean> refuses(Backend endpoint);

}
