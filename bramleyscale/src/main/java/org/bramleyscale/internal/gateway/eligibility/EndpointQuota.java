package org.bramleyscale.internal.gateway.eligibility;

import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * A limit on the rate of requests that this daemon sends to single endpoints.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface EndpointQuota {

	/**
	 * Whether an endpoint may be sent a request.
	 * @param endpoint the endpoint
	 * @return false if this daemon's share of the endpoint's limit is used up
	 */
	boolean permits(EndpointStart endpoint);

	/**
	 * Counts a request that is sent to an endpoint.
	 * @param endpoint the endpoint
	 */
	void sent(EndpointStart endpoint);

	/**
	 * Whether an endpoint may prefill a part of another endpoint's prompt.
	 * @param endpoint the endpoint
	 * @return false if parts count as requests and this daemon's share is used up
	 */
	boolean permitsHelp(EndpointStart endpoint);

	/**
	 * Counts a part of another endpoint's prompt that an endpoint prefills.
	 * @param endpoint the endpoint
	 */
	void helpRequested(EndpointStart endpoint);

	/**
	 * Counts a request or part that is sent later, or not at all.
	 * @param endpoint the endpoint
	 * @param part whether it is a part of another endpoint's prompt
	 * @return the reservation, which must be used or cancelled; by default it counts as
	 * sent now
	 */
	default Reservation reserve(EndpointStart endpoint, boolean part) {
		if (part) {
			helpRequested(endpoint);
		}
		else {
			sent(endpoint);
		}
		return Reservation.SENT;
	}

	/**
	 * Whether an endpoint counts as absent when the engines of a service are divided into
	 * lanes, since it takes too little work.
	 * @param endpoint the endpoint
	 * @return true if it belongs to no lane
	 */
	boolean leavesLanes(EndpointStart endpoint);

}
