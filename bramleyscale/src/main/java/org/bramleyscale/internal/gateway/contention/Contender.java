package org.bramleyscale.internal.gateway.contention;

import java.time.Duration;
import java.util.Optional;

import org.bramleyscale.internal.gateway.placement.Placement;

/**
 * A request as the queue calls it. Called on the scheduler's thread only.
 */
public interface Contender {

	/**
	 * Chooses a placement without sending the request.
	 * @return the placement, or empty if the request must not be sent now and enters
	 * again later by itself
	 */
	Optional<Placement> place();

	/**
	 * Called once, before {@link #proceed} or {@link #refused}, if the request can't be
	 * placed when it enters.
	 * @param reason what it waits for
	 * @param rank the number of requests ahead of it
	 * @param predicted the predicted time until it is placed; zero if unknown
	 */
	void waits(String reason, int rank, Duration predicted);

	/**
	 * Called when the request leaves the queue with a placement that doesn't wait.
	 * @param placement an endpoint, or a refusal
	 * @param rank the number of requests that were ahead of it
	 */
	void proceed(Placement placement, int rank);

	/**
	 * Called when the request leaves the queue because it can't be served in time.
	 * @param reason the reason
	 * @param rank the number of requests that were ahead of it
	 * @param retryAfter the delay after which the caller should retry
	 */
	void refused(String reason, int rank, Duration retryAfter);

}
