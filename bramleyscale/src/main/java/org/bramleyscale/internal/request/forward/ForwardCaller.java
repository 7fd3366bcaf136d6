package org.bramleyscale.internal.request.forward;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.answer.RecordReader;

/**
 * The caller of a forwarded request, for either kind of answer.
 *
 * <p>
 * Called on the scheduler's thread.
 */
public interface ForwardCaller {

	void admitted(RequestId id);

	void tokens(long offset, int tokens, String text);

	void completed(EngineUsage usage);

	void replied(ServiceReply reply);

	void failed(ServingException failure);

	/**
	 * Creates a reader that continues the answer from a record of this daemon.
	 * @param offset the offset of the first token that the caller has not received
	 * @param admissionReported whether the caller has received the id of its admitted
	 * request
	 * @return a reader that delivers the rest of the answer to this caller
	 */
	RecordReader reader(long offset, boolean admissionReported);

}
