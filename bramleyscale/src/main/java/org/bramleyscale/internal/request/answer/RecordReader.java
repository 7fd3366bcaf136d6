package org.bramleyscale.internal.request.answer;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;

/**
 * Receives the events of one request's record.
 *
 * <p>
 * Called on the scheduler's thread. Exactly one of {@code completed}, {@code replied} and
 * {@code failed} is called, and nothing after. An implementation may keep the log, which
 * does not change after the end.
 */
public interface RecordReader {

	void admitted(RequestId id);

	/**
	 * Selects the position in the answer from which to read.
	 * @param log the answer so far, or null for a call of a plain service
	 * @return false if the answer can't be read from this reader's offset
	 */
	boolean begin(AnswerLog log);

	void answerExtended(AnswerLog log);

	void completed(AnswerLog log, EngineUsage usage);

	void replied(ServiceReply reply);

	void failed(ServingException failure);

}
