package org.bramleyscale.internal.request;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;

/**
 * Takes a generated answer on its way to one caller.
 *
 * <p>
 * Called on the scheduler's thread. Invariant: offsets are contiguous from the one asked
 * for; exactly one of {@code completed} and {@code failed} is called, and nothing after.
 */
public interface AnswerSink {

	/**
	 * The request is admitted under this id.
	 * @param id the id under which the answer may be resumed
	 */
	void admitted(RequestId id);

	void tokens(long offset, int tokens, String text);

	void completed(EngineUsage usage);

	void failed(ServingException failure);

}
