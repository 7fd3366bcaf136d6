package org.bramleyscale.bench.capacity;

import java.util.Map;
import java.util.TreeMap;

import org.bramleyscale.ErrorCode;
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

	private final Map<ErrorCode, Integer> failures = new TreeMap<>();

	private int sent;

	private int completed;

	void sent() {
		this.sent++;
	}

	int completed() {
		return this.completed;
	}

	/**
	 * How many requests ended otherwise than completed, or not at all.
	 * @return their number
	 */
	int missing() {
		return this.sent - this.completed;
	}

	Map<ErrorCode, Integer> failures() {
		return this.failures;
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
		this.failures.merge(failure.code(), 1, Integer::sum);
	}

}
