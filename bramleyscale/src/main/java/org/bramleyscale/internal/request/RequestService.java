package org.bramleyscale.internal.request;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.internal.time.Cancellable;

/**
 * Runs, resumes and cancels the requests of callers.
 *
 * <p>
 * Confined to the scheduler's thread. Cancelling a returned handle signals that the
 * caller has disconnected. A repeatable request without any reader is then cancelled
 * after a grace period, during which its caller may resume it.
 */
public interface RequestService {

	/**
	 * Runs a generation, attaches to it if its id is running here, replays it if it
	 * completed here, or forwards it to the incarnation that issued its id.
	 * @param request the request
	 * @param sink receives the answer
	 * @return a handle to cancel when the caller disconnects
	 */
	Cancellable generate(GenerateRequest request, AnswerSink sink);

	/**
	 * Reads an answer from an offset on, locally or through its home daemon.
	 * @param id the request
	 * @param account the account of the caller; must be the account that made the request
	 * @param offset the offset of the first token to deliver
	 * @param sink receives the answer
	 * @return a handle to cancel when the caller disconnects
	 */
	Cancellable resume(RequestId id, ClientAccountId account, long offset, AnswerSink sink);

	/**
	 * Cancels a request on behalf of its caller.
	 * @param id the request
	 * @param account the account of the caller; must be the account that made the request
	 */
	void cancel(RequestId id, ClientAccountId account);

	/**
	 * Calls a plain service, following the same rules as {@link #generate}.
	 * @param request the request
	 * @param sink receives the answer
	 * @return a handle to cancel when the caller disconnects
	 */
	Cancellable call(PlainRequest request, PlainSink sink);

	/**
	 * Stops accepting new requests; running requests continue.
	 */
	void leave();

	/**
	 * Returns the number of requests that have not ended.
	 * @return the number of unfinished requests
	 */
	int unfinished();

}
