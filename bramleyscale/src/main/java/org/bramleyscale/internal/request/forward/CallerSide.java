package org.bramleyscale.internal.request.forward;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.answer.RecordReader;

/**
 * A caller whose request is forwarded, whatever kind of answer it takes.
 *
 * <p>
 * Called on the scheduler's thread.
 */
public interface CallerSide {

	void admitted(RequestId id);

	void tokens(long offset, int tokens, String text);

	void completed(EngineUsage usage);

	void replied(ServiceReply reply);

	void failed(ServingException failure);

	/**
	 * Reads on from a record of this daemon.
	 * @param offset the first token that the caller doesn't have
	 * @param announced whether the caller has been told an id
	 * @return a reader that hands the rest to this caller
	 */
	RecordReader reader(long offset, boolean announced);

}
