package org.bramleyscale.internal.request.forward;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.PlainSink;
import org.bramleyscale.internal.request.answer.PlainReader;
import org.bramleyscale.internal.request.answer.RecordReader;

/**
 * A forward caller that receives a plain service's reply.
 *
 * @param sink receives the reply
 */
public record PlainCaller(PlainSink sink) implements ForwardCaller {

	@Override
	public void admitted(RequestId id) {
		this.sink.admitted(id);
	}

	@Override
	public void tokens(long offset, int tokens, String text) {
		throw new IllegalStateException("a plain service call received a generated answer");
	}

	@Override
	public void completed(EngineUsage usage) {
		throw new IllegalStateException("a plain service call received a generated answer");
	}

	@Override
	public void replied(ServiceReply reply) {
		this.sink.completed(reply);
	}

	@Override
	public void failed(ServingException failure) {
		this.sink.failed(failure);
	}

	@Override
	public RecordReader reader(long offset, boolean admissionReported) {
		return new PlainReader(this.sink, admissionReported);
	}

}
