package org.bramleyscale.internal.request;

import org.bramleyscale.ServingException;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;

/**
 * Takes what becomes of attempts.
 *
 * <p>
 * Called on the scheduler's thread, at most once for each attempt.
 */
interface RunListener {

	/**
	 * The whole answer is in the record's log.
	 * @param record the request
	 * @param usage what the engine counted
	 * @param fromStart whether this attempt made all of it
	 */
	void completed(RequestRecord record, EngineUsage usage, boolean fromStart);

	void replied(RequestRecord record, ServiceReply reply);

	/**
	 * The attempt can't go on.
	 * @param record the request
	 * @param endpoint where it was
	 * @param failure says whether the attempt ran
	 */
	void attemptLost(RequestRecord record, EndpointEntry endpoint, ServingException failure);

}
