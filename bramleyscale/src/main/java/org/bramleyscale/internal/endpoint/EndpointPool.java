package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.routing.Candidate;

/**
 * An entry's side of the endpoints it uses: grants, reports, learnt speeds and health.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface EndpointPool {

	/**
	 * The endpoints that may be given new work: not leaving, not ejected.
	 * @param service the service
	 * @param model the model, or null for a plain service
	 * @return the candidates in a stable order; those without room in their grant are
	 * included, with no slots or memory left
	 */
	List<Candidate> candidates(ServiceName service, ModelName model);

	/**
	 * Takes part of a grant.
	 * @param endpoint the endpoint
	 * @param kvTokens memory the request may need at most, in tokens; 0 for a plain
	 * service
	 * @param promptTokens prompt tokens it will have to compute
	 * @return the permit, or empty if the grant has no room
	 */
	Optional<Permit> acquire(EndpointId endpoint, long kvTokens, int promptTokens);

	/**
	 * Tells that a request waits because no candidate has room for it, so that room may
	 * be collected for it; to be told again about once a second while it waits.
	 * @param service the service
	 * @param model the model, or null for a plain service
	 * @param kvTokens memory the request may need at most, in tokens
	 */
	default void wanted(ServiceName service, ModelName model, long kvTokens) {
	}

	/**
	 * Learns from one attempt.
	 * @param endpoint the endpoint
	 * @param observation what was seen
	 */
	void observed(EndpointId endpoint, Observation observation);

	/**
	 * Learns that an attempt has brought no first token long after it was expected; told
	 * again while that lasts.
	 * @param endpoint the endpoint
	 * @param waited how long ago the attempt was sent
	 * @param predicted the time to first token predicted then
	 */
	default void overdue(EndpointId endpoint, Duration waited, Duration predicted) {
	}

	/**
	 * Adds a listener called when room may have appeared.
	 * @param listener the listener
	 */
	void onRoom(Runnable listener);

}
