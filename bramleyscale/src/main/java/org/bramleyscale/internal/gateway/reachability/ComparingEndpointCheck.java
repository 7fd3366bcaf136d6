package org.bramleyscale.internal.gateway.reachability;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.crash.EndpointCheck;

/**
 * Checks an endpoint and compares it with others, so that a broken path of this daemon
 * isn't taken for the endpoint's end.
 *
 * <p>
 * Confined to the scheduler's thread.
 *
 * @param connections tries to connect to endpoints
 * @param paths tries others
 */
public record ComparingEndpointCheck(ConnectionCheck connections, PathMonitor paths) implements EndpointCheck {

	@Override
	public CompletableFuture<Finding> check(Backend endpoint, Consumer<EndpointStart> refusing) {
		return this.connections.connect(endpoint)
			.thenCompose((outcome) -> (outcome == ConnectionOutcome.ACCEPTED)
					? CompletableFuture.completedFuture(Finding.ACCEPTS)
					: this.paths.reachesAnyExcept(endpoint, refusing)
						.thenApply((reaches) -> finding(outcome, reaches)));
	}

	private static Finding finding(ConnectionOutcome outcome, boolean reachesOthers) {
		if (!reachesOthers) {
			return Finding.NO_PATH;
		}
		return (outcome == ConnectionOutcome.REFUSED) ? Finding.REFUSES : Finding.HANGS;
	}

}
