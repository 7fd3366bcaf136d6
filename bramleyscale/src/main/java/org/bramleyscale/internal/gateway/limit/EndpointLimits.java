package org.bramleyscale.internal.gateway.limit;

import java.util.OptionalDouble;

import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.eligibility.EndpointQuota;

/**
 * Decides which endpoints this daemon may send a request to without exceeding the limits
 * that they name.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface EndpointLimits extends EndpointQuota {

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
	 * {@inheritDoc} Endpoints that name a limit count requests only, not parts.
	 */
	@Override
	default boolean permitsHelp(EndpointStart endpoint) {
		return true;
	}

	@Override
	default void helpRequested(EndpointStart endpoint) {
		// Parts don't count against a named limit.
	}

	/**
	 * {@inheritDoc} The size of a lane is derived from the work that its engines can
	 * take.
	 */
	@Override
	default boolean leavesLanes(EndpointStart endpoint) {
		return limited(endpoint);
	}

	/**
	 * Applies the limit in an endpoint's answer.
	 * @param endpoint the endpoint
	 * @param perSecond the limit in requests a second from all daemons together, or empty
	 * if the answer names none
	 * @param sentAt when the answered request was sent, by the scheduler's clock
	 */
	void answered(EndpointStart endpoint, OptionalDouble perSecond, long sentAt);

}
