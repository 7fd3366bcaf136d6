package org.bramleyscale.internal.request;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.internal.time.Cancellable;

/**
 * The requests of callers.
 *
 * <p>
 * Confined to the scheduler's thread. Each returned handle says that the caller has gone
 * away; a repeatable generation that nobody reads any more is then cancelled after a
 * grace time in which its caller may resume it.
 */
public interface RequestService {

	/**
	 * Runs a generation, attaches to it if its id is running here, replays it if it
	 * completed here, or forwards it to the incarnation that issued its id.
	 * @param request the request
	 * @param sink takes the answer
	 * @return tells that the caller has gone
	 */
	Cancellable generate(GenerateRequest request, AnswerSink sink);

	/**
	 * Reads an answer from an offset on, here or through its home.
	 * @param id the request
	 * @param account who asks; must be the account that made the request
	 * @param offset the first token wanted
	 * @param sink takes the answer
	 * @return tells that the caller has gone
	 */
	Cancellable resume(RequestId id, ClientAccountId account, long offset, AnswerSink sink);

	/**
	 * Cancels a request at its caller's wish.
	 * @param id the request
	 * @param account who asks; must be the account that made the request
	 */
	void cancel(RequestId id, ClientAccountId account);

	/**
	 * Calls a plain service, with the same rules as {@link #generate}.
	 * @param request the request
	 * @param sink takes the answer
	 * @return tells that the caller has gone
	 */
	Cancellable call(PlainRequest request, PlainSink sink);

	/**
	 * Stops taking new requests; running ones go on.
	 */
	void leave();

	/**
	 * How many requests have not ended.
	 * @return their number
	 */
	int unfinished();

}
