package org.bramleyscale.internal.gateway.limit;

import java.util.OptionalDouble;

import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * Decides which endpoints this daemon may send a request to without exceeding the limits
 * that they name.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface EndpointLimits {

	/** No endpoint names a limit; for tests and tools. */
	EndpointLimits NONE = new EndpointLimits() {

		@Override
		public boolean limited(EndpointStart endpoint) {
			return false;
		}

		@Override
		public boolean permits(EndpointStart endpoint) {
			return true;
		}

		@Override
		public void sent(EndpointStart endpoint) {
			// Nothing is limited.
		}

		@Override
		public void answered(EndpointStart endpoint, OptionalDouble perSecond, long sentAt) {
			// Nothing is limited.
		}

	};

	/**
	 * Whether an endpoint is known to name a limit.
	 * @param endpoint the endpoint
	 * @return true if it names a limit
	 */
	boolean limited(EndpointStart endpoint);

	/**
	 * Whether an endpoint may be sent a request.
	 * @param endpoint the endpoint
	 * @return false if it names a limit and this daemon's share of it is used up
	 */
	boolean permits(EndpointStart endpoint);

	/**
	 * Counts a request that is sent to an endpoint.
	 * @param endpoint the endpoint
	 */
	void sent(EndpointStart endpoint);

	/**
	 * Applies the limit in an endpoint's answer.
	 * @param endpoint the endpoint
	 * @param perSecond the limit in requests a second from all daemons together, or empty
	 * if the answer names none
	 * @param sentAt when the answered request was sent, by the scheduler's clock
	 */
	void answered(EndpointStart endpoint, OptionalDouble perSecond, long sentAt);

}
