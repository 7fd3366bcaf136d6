package org.bramleyscale.internal.gateway.request;

import java.time.Duration;

/**
 * A request that a {@link CallerRequestHandler} has taken.
 *
 * <p>
 * Confined to the scheduler's thread. Calls after the end of the request have no effect.
 */
public interface HandledRequest extends OpenRequest {

	/** A request that has ended. */
	HandledRequest ENDED = new HandledRequest() {

		@Override
		public void callerDisconnected() {
			// Nothing is left to cancel.
		}

		@Override
		public void daemonStops(Duration untilExit) {
			// Its response has been handed over.
		}

		@Override
		public void daemonExits() {
			// Its response has been handed over.
		}

	};

	/**
	 * Called when the caller has closed its connection.
	 */
	void callerDisconnected();

}
