package org.bramleyscale.internal.request;

import org.bramleyscale.ServingException;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;

/**
 * Receives the outcomes of attempts.
 *
 * <p>
 * Called on the scheduler's thread, at most once for each attempt.
 */
interface AttemptListener {

	/**
	 * Called when the whole answer is in the record's log.
	 * @param record the request
	 * @param usage the token usage as counted by the engine
	 * @param fromStart whether this attempt generated the whole answer
	 */
	void completed(RequestRecord record, EngineUsage usage, boolean fromStart);

	void replied(RequestRecord record, ServiceReply reply);

	/**
	 * Called when the attempt can't continue.
	 * @param record the request
	 * @param endpoint the endpoint of the attempt
	 * @param failure the failure, which states whether the attempt ran
	 */
	void attemptLost(RequestRecord record, EndpointEntry endpoint, ServingException failure);

}
