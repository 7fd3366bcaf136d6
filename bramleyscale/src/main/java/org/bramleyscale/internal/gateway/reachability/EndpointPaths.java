package org.bramleyscale.internal.gateway.reachability;

import java.time.Duration;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.gateway.backend.Backend;

/**
 * Knows whether this daemon has a path to the endpoints of a service.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface EndpointPaths {

	/** The paths of a daemon that never loses one. */
	EndpointPaths INTACT = new EndpointPaths() {

		@Override
		public boolean lost(ServiceName service) {
			return false;
		}

		@Override
		public Duration retryAfter() {
			return Duration.ZERO;
		}

		@Override
		public void answered(Backend endpoint) {
			// Nothing is derived from it.
		}

	};

	/**
	 * Whether requests to a service can't be sent from this daemon at present.
	 * @param service the service
	 * @return true from the moment at which several of its endpoints couldn't be
	 * connected to, until one can
	 */
	boolean lost(ServiceName service);

	/**
	 * When the caller of a request to a lost service should retry.
	 * @return the time, never zero if a service is lost
	 */
	Duration retryAfter();

	/**
	 * Records that an endpoint has begun to answer a request.
	 * @param endpoint the endpoint
	 */
	void answered(Backend endpoint);

}
