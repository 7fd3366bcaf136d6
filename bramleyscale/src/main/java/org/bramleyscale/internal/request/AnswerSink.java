package org.bramleyscale.internal.request;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;

/**
 * Receives the parts of a generated answer for one caller.
 *
 * <p>
 * Called on the scheduler's thread. Invariant: offsets are contiguous, starting with the
 * requested one; exactly one of {@code completed} and {@code failed} is called, and it is
 * the last call.
 */
public interface AnswerSink {

	/**
	 * Called when the request is admitted.
	 * @param id the id by which the answer can be resumed
	 */
	void admitted(RequestId id);

	void tokens(long offset, int tokens, String text);

	void completed(EngineUsage usage);

	void failed(ServingException failure);

}
