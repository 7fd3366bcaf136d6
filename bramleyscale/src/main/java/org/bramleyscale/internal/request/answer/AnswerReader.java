package org.bramleyscale.internal.request.answer;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.AnswerSink;

/**
 * Delivers a generated answer to one caller, starting at an offset.
 *
 * <p>
 * Invariant: each piece is delivered once and in order. Confined to the scheduler's
 * thread.
 */
public final class AnswerReader implements RecordReader {

	private final AnswerSink sink;

	private final long offset;

	private boolean admissionReported;

	private int index;

	public AnswerReader(AnswerSink sink, long offset, boolean admissionReported) {
		this.sink = sink;
		this.offset = offset;
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
		this.index = (log != null) ? log.indexAt(this.offset) : -1;
		return this.index >= 0;
	}

	@Override
	public void answerExtended(AnswerLog log) {
		while (this.index < log.pieces()) {
			AnswerPiece piece = log.piece(this.index);
			this.index++;
			this.sink.tokens(piece.offset(), piece.tokens(), piece.text());
		}
	}

	@Override
	public void completed(AnswerLog log, EngineUsage usage) {
		answerExtended(log);
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

}
