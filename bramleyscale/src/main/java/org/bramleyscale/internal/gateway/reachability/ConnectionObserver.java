package org.bramleyscale.internal.gateway.reachability;

import org.bramleyscale.internal.gateway.backend.Backend;

/**
 * Notified of the outcome of each new connection to an endpoint.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface ConnectionObserver {

	/** Ignores all outcomes. */
	ConnectionObserver NONE = new ConnectionObserver() {

		@Override
		public void connected(Backend endpoint) {
			// Ignored.
		}

		@Override
		public void connectFailed(Backend endpoint, long startedAt) {
			// Ignored.
		}

	};

	/**
	 * Called when a connection was established.
	 * @param endpoint the endpoint
	 */
	void connected(Backend endpoint);

	/**
	 * Called when a connection was refused or not established in time.
	 * @param endpoint the endpoint
	 * @param startedAt when the attempt began, by the scheduler's clock
	 */
	void connectFailed(Backend endpoint, long startedAt);

}
