package org.bramleyscale.internal.request.forward;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.internal.request.GenerateRequest;
import org.bramleyscale.internal.request.PlainRequest;
import org.bramleyscale.internal.request.answer.AnswerLog;
import org.bramleyscale.internal.request.answer.RecordReader;
import org.bramleyscale.internal.time.Cancellable;

/**
 * The requests whose home is this daemon, used by callers connected directly and by
 * forwards from other daemons.
 *
 * <p>
 * Confined to the scheduler's thread. Each returned handle detaches the reader.
 */
public interface HomeRequests {

	Cancellable generate(GenerateRequest request, RecordReader reader);

	Cancellable call(PlainRequest request, RecordReader reader);

	/**
	 * Attaches a reader to the record of a request.
	 * @param id the request
	 * @param account the requesting client account; must be the one that made the request
	 * @param reader receives the answer
	 * @return a handle that detaches the reader
	 */
	Cancellable attach(RequestId id, ClientAccountId account, RecordReader reader);

	void cancel(RequestId id, ClientAccountId account);

	/**
	 * Starts a repeatable generation whose home daemon, identified by its id, is lost.
	 * @param request the request, with its original id
	 * @param delivered the part of the answer already delivered to the caller
	 * @param reader receives the rest of the answer
	 * @return a handle that detaches the reader
	 */
	Cancellable takeOver(GenerateRequest request, AnswerLog delivered, RecordReader reader);

	/**
	 * Starts a repeatable call whose home daemon, identified by its id, is lost.
	 * @param request the request, with its original id
	 * @param reader receives the reply
	 * @return a handle that detaches the reader
	 */
	Cancellable takeOver(PlainRequest request, RecordReader reader);

}
