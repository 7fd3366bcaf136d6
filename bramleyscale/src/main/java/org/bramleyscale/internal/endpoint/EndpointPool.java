package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.routing.Candidate;

/**
 * An entry's view of the endpoints it uses: grants, load reports, estimated speeds and
 * health.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public interface EndpointPool {

	/**
	 * Returns the endpoints that may receive new requests: neither leaving nor ejected.
	 * @param service the service
	 * @param model the model, or null for a plain service
	 * @return the candidates in a stable order, including those whose grant is exhausted,
	 * which have no slots or memory left
	 */
	List<Candidate> candidates(ServiceName service, ModelName model);

	/**
	 * Acquires capacity from an endpoint's grant for one request.
	 * @param endpoint the endpoint
	 * @param kvTokens the most memory the request may need, in tokens; 0 for a plain
	 * service
	 * @param promptTokens prompt tokens that the endpoint has to compute
	 * @return the permit, or empty if the grant has too little capacity left
	 */
	Optional<Permit> acquire(EndpointId endpoint, long kvTokens, int promptTokens);

	/**
	 * Reports that a request waits because no candidate has enough capacity for it, so
	 * that the pool can demand more. Callers repeat the report about once a second while
	 * the request waits.
	 * @param service the service
	 * @param model the model, or null for a plain service
	 * @param kvTokens the most memory the request may need, in tokens
	 */
	default void requestCapacity(ServiceName service, ModelName model, long kvTokens) {
	}

	/**
	 * Updates speeds and health from the outcome of one attempt.
	 * @param endpoint the endpoint
	 * @param observation the measurements of the attempt
	 */
	void recordAttempt(EndpointId endpoint, Observation observation);

	/**
	 * Reports that an attempt's first token is long overdue. Callers repeat the report
	 * while that remains so.
	 * @param endpoint the endpoint
	 * @param waited the time since the attempt was sent
	 * @param predicted the time to first token that was predicted when it was sent
	 */
	default void recordOverdue(EndpointId endpoint, Duration waited, Duration predicted) {
	}

	/**
	 * Adds a listener that is called when capacity may have become available.
	 * @param listener the listener
	 */
	void onCapacityAvailable(Runnable listener);

}
