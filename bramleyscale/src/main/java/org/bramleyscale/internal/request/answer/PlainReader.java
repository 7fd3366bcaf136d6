package org.bramleyscale.internal.request.answer;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.PlainSink;

/**
 * Delivers a plain service's reply to one caller.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public final class PlainReader implements RecordReader {

	private final PlainSink sink;

	private boolean admissionReported;

	public PlainReader(PlainSink sink, boolean admissionReported) {
		this.sink = sink;
		this.admissionReported = admissionReported;
	}

	@Override
	public void admitted(RequestId id) {
		if (!this.admissionReported) {
			this.admissionReported = true;
			this.sink.admitted(id);
		}
	}

	@Override
	public boolean begin(AnswerLog log) {
		return log == null;
	}

	@Override
	public void answerExtended(AnswerLog log) {
	}

	@Override
	public void completed(AnswerLog log, EngineUsage usage) {
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

}
