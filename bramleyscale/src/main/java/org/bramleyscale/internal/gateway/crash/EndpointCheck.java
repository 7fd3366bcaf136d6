package org.bramleyscale.internal.gateway.crash;

import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.gateway.backend.Backend;

/**
 * Checks whether a process listens at an endpoint's address.
 */
@FunctionalInterface
public interface EndpointCheck {

	/**
	 * Tries to connect to an endpoint and, if that fails, to others.
	 * @param endpoint the endpoint
	 * @return a future that completes on the scheduler's thread
	 */
	CompletableFuture<Finding> check(Backend endpoint);

	/**
	 * What a check has found.
	 */
	enum Finding {

		/** It refuses connections, while another endpoint accepts them. */
		REFUSES,

		/** It accepts connections, or hangs. */
		INCONCLUSIVE,

		/** No endpoint could be connected to: this daemon's own path is broken. */
		NO_PATH

	}

}
