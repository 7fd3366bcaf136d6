package org.bramleyscale.internal.node;

import java.util.Optional;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.AnswerSink;
import org.bramleyscale.internal.request.GenerateRequest;
import org.bramleyscale.internal.request.PlainRequest;
import org.bramleyscale.internal.request.PlainSink;
import org.bramleyscale.internal.request.RequestService;
import org.bramleyscale.internal.status.FailureLog;
import org.bramleyscale.internal.time.Cancellable;

/**
 * Notes each answer that isn't a success on its way to a caller of this daemon.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class LoggedRequests implements RequestService {

	private final RequestService requests;

	private final FailureLog failures;

	LoggedRequests(RequestService requests, FailureLog failures) {
		this.requests = requests;
		this.failures = failures;
	}

	@Override
	public Cancellable generate(GenerateRequest request, AnswerSink sink) {
		return this.requests.generate(request, new LoggedAnswer(sink, request.id()));
	}

	@Override
	public Cancellable resume(RequestId id, ClientAccountId account, long offset, AnswerSink sink) {
		return this.requests.resume(id, account, offset, new LoggedAnswer(sink, Optional.of(id)));
	}

	@Override
	public void cancel(RequestId id, ClientAccountId account) {
		this.requests.cancel(id, account);
	}

	@Override
	public Cancellable call(PlainRequest request, PlainSink sink) {
		return this.requests.call(request, new LoggedReply(sink, request.id()));
	}

	@Override
	public void leave() {
		this.requests.leave();
	}

	@Override
	public int unfinished() {
		return this.requests.unfinished();
	}

	/**
	 * Passes a generated answer on.
	 */
	private final class LoggedAnswer implements AnswerSink {

		private final AnswerSink sink;

		private Optional<RequestId> id;

		private LoggedAnswer(AnswerSink sink, Optional<RequestId> id) {
			this.sink = sink;
			this.id = id;
		}

		@Override
		public void admitted(RequestId issued) {
			this.id = Optional.of(issued);
			this.sink.admitted(issued);
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
		public void failed(ServingException failure) {
			LoggedRequests.this.failures.add(this.id, failure);
			this.sink.failed(failure);
		}

	}

	/**
	 * Passes a plain service's answer on.
	 */
	private final class LoggedReply implements PlainSink {

		private final PlainSink sink;

		private Optional<RequestId> id;

		private LoggedReply(PlainSink sink, Optional<RequestId> id) {
			this.sink = sink;
			this.id = id;
		}

		@Override
		public void admitted(RequestId issued) {
			this.id = Optional.of(issued);
			this.sink.admitted(issued);
		}

		@Override
		public void completed(ServiceReply reply) {
			this.sink.completed(reply);
		}

		@Override
		public void failed(ServingException failure) {
			LoggedRequests.this.failures.add(this.id, failure);
			this.sink.failed(failure);
		}

	}

}
