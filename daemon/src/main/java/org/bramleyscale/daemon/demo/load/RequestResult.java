package org.bramleyscale.daemon.demo.load;

import java.util.List;
import java.util.OptionalLong;

/**
 * What became of one request, as its caller saw it.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param request the request
 * @param outcome its outcome
 * @param admitted whether the system said that it took the request
 * @param firstTokenNanos the time from the first attempt to the first token
 * @param ids the request ids under which the caller sent it
 * @param detail the outcome in words
 */
public record RequestResult(PlannedRequest request, Outcome outcome, boolean admitted, OptionalLong firstTokenNanos,
		List<String> ids, String detail) {

	public RequestResult {
		ids = List.copyOf(ids);
	}

	/**
	 * The outcomes that a request can have.
	 */
	public enum Outcome {

		/** The whole answer arrived and is the right one. */
		COMPLETED,
		/** The system said that it failed, or no entry could be reached in its time. */
		FAILED,
		/** The system said that it did not run. */
		REFUSED_NOT_RUN,
		/** The system said that nobody knows whether it ran. */
		UNKNOWN,
		/** It was admitted but had no end in its time, or its answer is wrong. */
		LOST

	}

}
