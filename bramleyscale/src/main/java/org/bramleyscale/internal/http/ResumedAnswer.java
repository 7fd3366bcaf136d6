package org.bramleyscale.internal.http;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.request.AnswerSink;

/**
 * The rest of an answer whose request was admitted long ago, so that the stream begins
 * with the first thing that comes.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class ResumedAnswer implements AnswerSink {

	private final RequestId id;

	private final StreamedAnswer answer;

	ResumedAnswer(RequestId id, StreamedAnswer answer) {
		this.id = id;
		this.answer = answer;
	}

	@Override
	public void admitted(RequestId admittedId) {
		this.answer.admitted(admittedId);
	}

	@Override
	public void tokens(long offset, int tokens, String text) {
		this.answer.admitted(this.id);
		this.answer.tokens(offset, tokens, text);
	}

	@Override
	public void completed(EngineUsage usage) {
		this.answer.admitted(this.id);
		this.answer.completed(usage);
	}

	@Override
	public void failed(ServingException failure) {
		this.answer.failed(failure);
	}

}
