package org.bramleyscale.internal.gateway.eligibility;

import java.time.Duration;
import java.util.Optional;

import org.bramleyscale.internal.gateway.backend.Backend;

/**
 * A state in which an endpoint is sent nothing new: no request, no helper part and no
 * memory hold. What already runs there continues.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface EndpointRule {

	/**
	 * The time of a block that never ends for the request in question, longer than any
	 * request may take.
	 */
	Duration WHOLE_REQUEST = Duration.ofDays(365);

	/**
	 * The time for which an endpoint is blocked.
	 * @param endpoint the endpoint
	 * @param scope the request for which the answer is wanted
	 * @return the remaining time, an estimate if the end isn't known,
	 * {@link #WHOLE_REQUEST} if the request may never use the endpoint, or zero if this
	 * rule doesn't block it
	 */
	Duration blockedFor(Backend endpoint, RequestScope scope);

	/**
	 * Whether an endpoint must not be used as a helper either if it was chosen before
	 * this rule began to block it, while memory for the request was being reserved.
	 * @param endpoint the endpoint
	 * @return true if the request is to be placed again
	 */
	default boolean withdraws(Backend endpoint) {
		return false;
	}

	/**
	 * Whether an endpoint counts as absent when the engines of a service are divided into
	 * lanes.
	 * @param endpoint the endpoint
	 * @return true if this rule blocks it for all requests
	 */
	boolean leavesLanes(Backend endpoint);

	/**
	 * The group to which some requests confine an endpoint's use. Each group gets its
	 * share of both lanes.
	 * @param endpoint the endpoint
	 * @return the group, empty if this rule confines no request to a group
	 */
	default Optional<String> laneGroup(Backend endpoint) {
		return Optional.empty();
	}

	/**
	 * The reason with which requests are refused if this rule blocks all their endpoints.
	 * @return the reason
	 */
	String reason();

}
