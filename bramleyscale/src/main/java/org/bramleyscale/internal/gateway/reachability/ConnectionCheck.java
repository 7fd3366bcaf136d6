package org.bramleyscale.internal.gateway.reachability;

import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.gateway.backend.Backend;

/**
 * Tries to connect to endpoints without sending them anything.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
@FunctionalInterface
public interface ConnectionCheck {

	/**
	 * Opens a connection and closes it again.
	 * @param endpoint the endpoint
	 * @return a future that completes on the scheduler's thread, never exceptionally
	 */
	CompletableFuture<ConnectionOutcome> connect(Backend endpoint);

}
