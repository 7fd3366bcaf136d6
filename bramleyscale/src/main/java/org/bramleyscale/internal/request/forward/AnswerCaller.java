package org.bramleyscale.internal.request.forward;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.AnswerSink;
import org.bramleyscale.internal.request.answer.AnswerReader;
import org.bramleyscale.internal.request.answer.RecordReader;

/**
 * A forward caller that receives a generated answer.
 *
 * @param sink receives the answer
 */
public record AnswerCaller(AnswerSink sink) implements ForwardCaller {

	@Override
	public void admitted(RequestId id) {
		this.sink.admitted(id);
	}

	@Override
	public void tokens(long offset, int tokens, String text) {
		this.sink.tokens(offset, tokens, text);
	}

	@Override
	public void completed(EngineUsage usage) {
		this.sink.completed(usage);
	}

	@Override
	public void replied(ServiceReply reply) {
		throw new IllegalStateException("a generation request received a plain service's reply");
	}

	@Override
	public void failed(ServingException failure) {
		this.sink.failed(failure);
	}

	@Override
	public RecordReader reader(long offset, boolean admissionReported) {
		return new AnswerReader(this.sink, offset, admissionReported);
	}

}
