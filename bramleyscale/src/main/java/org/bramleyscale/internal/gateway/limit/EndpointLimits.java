package org.bramleyscale.internal.gateway.limit;

import java.util.OptionalDouble;

import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * Which endpoints may get a request from this daemon now.
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
		public boolean open(EndpointStart endpoint) {
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
	 * Whether an endpoint names a limit, as all daemons know it.
	 * @param endpoint the endpoint
	 * @return true if it takes a few requests only
	 */
	boolean limited(EndpointStart endpoint);

	/**
	 * Whether an endpoint may get a request.
	 * @param endpoint the endpoint
	 * @return false if it named a limit of which this daemon has nothing left
	 */
	boolean open(EndpointStart endpoint);

	/**
	 * Notes that a request is sent.
	 * @param endpoint the endpoint
	 */
	void sent(EndpointStart endpoint);

	/**
	 * Takes what an endpoint's answer says.
	 * @param endpoint the endpoint
	 * @param perSecond requests a second from all daemons together, or empty if the
	 * answer names no limit
	 * @param sentAt when what it answers was sent, by the scheduler's clock
	 */
	void answered(EndpointStart endpoint, OptionalDouble perSecond, long sentAt);

}
