package org.bramleyscale.internal.gateway.crash;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * Checks whether a process listens at an endpoint's address.
 */
@FunctionalInterface
public interface EndpointCheck {

	/**
	 * Tries to connect to an endpoint and, if that fails, to others.
	 * @param endpoint the endpoint
	 * @param refusing called with each of the others that refuses connections too, before
	 * or after the returned future completes
	 * @return a future that completes on the scheduler's thread
	 */
	CompletableFuture<Finding> check(Backend endpoint, Consumer<EndpointStart> refusing);

	/**
	 * What a check has found.
	 */
	enum Finding {

		/** It refuses connections, while another endpoint accepts them. */
		REFUSES,

		/** It accepts connections. */
		ACCEPTS,

		/** It neither accepts nor refuses connections. */
		HANGS,

		/** No endpoint could be connected to: this daemon's own path is broken. */
		NO_PATH

	}

}
