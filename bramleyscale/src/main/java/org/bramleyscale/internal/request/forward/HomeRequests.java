package org.bramleyscale.internal.request.forward;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.internal.request.GenerateRequest;
import org.bramleyscale.internal.request.PlainRequest;
import org.bramleyscale.internal.request.answer.AnswerLog;
import org.bramleyscale.internal.request.answer.RecordReader;
import org.bramleyscale.internal.time.Cancellable;

/**
 * The requests whose home is this daemon, as callers reach them directly or through
 * another daemon.
 *
 * <p>
 * Confined to the scheduler's thread. Each returned handle takes the reader away.
 */
public interface HomeRequests {

	Cancellable generate(GenerateRequest request, RecordReader reader);

	Cancellable call(PlainRequest request, RecordReader reader);

	/**
	 * Reads a request's record.
	 * @param id the request
	 * @param account who asks; must be the account that made the request
	 * @param reader takes the answer
	 * @return takes the reader away
	 */
	Cancellable attach(RequestId id, ClientAccountId account, RecordReader reader);

	void cancel(RequestId id, ClientAccountId account);

	/**
	 * Starts a repeatable generation whose home, named by its id, is lost.
	 * @param request the request, with the id under which it was known
	 * @param delivered the answer that its caller already has
	 * @param reader takes the answer from there on
	 * @return takes the reader away
	 */
	Cancellable adopt(GenerateRequest request, AnswerLog delivered, RecordReader reader);

	/**
	 * Starts a repeatable call whose home, named by its id, is lost.
	 * @param request the request, with the id under which it was known
	 * @param reader takes the reply
	 * @return takes the reader away
	 */
	Cancellable adopt(PlainRequest request, RecordReader reader);

}
