package org.bramleyscale.bench.capacity;

import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.request.AnswerSink;

/**
 * Counts what became of requests.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class RequestCounts implements AnswerSink {

	private int sent;

	private int completed;

	void sent() {
		this.sent++;
	}

	int started() {
		return this.sent;
	}

	/**
	 * How many requests ended otherwise than completed, or not at all.
	 * @return their number
	 */
	int missing() {
		return this.sent - this.completed;
	}

	@Override
	public void admitted(RequestId id) {
	}

	@Override
	public void tokens(long offset, int tokens, String text) {
	}

	@Override
	public void completed(EngineUsage usage) {
		this.completed++;
	}

	@Override
	public void failed(ServingException failure) {
	}

}
