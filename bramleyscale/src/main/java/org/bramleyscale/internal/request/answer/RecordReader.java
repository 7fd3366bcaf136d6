package org.bramleyscale.internal.request.answer;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;

/**
 * Reads one request's record as it grows.
 *
 * <p>
 * Called on the scheduler's thread. Exactly one of {@code completed}, {@code replied} and
 * {@code failed} is called, and nothing after. The log may be kept: it doesn't change
 * after the end.
 */
public interface RecordReader {

	void admitted(RequestId id);

	/**
	 * Chooses where to begin in an answer.
	 * @param log the answer so far, or null for a call of a plain service
	 * @return false if this reader can't read from the offset that it wants
	 */
	boolean begin(AnswerLog log);

	void grew(AnswerLog log);

	void completed(AnswerLog log, EngineUsage usage);

	void replied(ServiceReply reply);

	void failed(ServingException failure);

}
