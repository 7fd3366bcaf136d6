package org.bramleyscale.standins.fleet;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.address.AddressAnswer;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.request.AnswerSink;
import org.bramleyscale.internal.request.GenerateRequest;
import org.bramleyscale.standins.engine.ExpectedAnswer;

/**
 * A caller that streams a generated answer, resumes it after a disconnect, and starts
 * again if it can't be resumed.
 *
 * <p>
 * Checks that the answer is complete and belongs to its prompt, and that a request
 * reported as not run generated no token. Confined to the test's thread.
 */
final class GenerationCaller extends ScriptedCaller {

	private final String prompt;

	private final int answerTokens;

	private final Set<RequestId> notRunIds = new HashSet<>();

	private final StringBuilder text = new StringBuilder();

	private RequestId id;

	private boolean resuming;

	private long offset;

	GenerationCaller(CallerContext context, int number, PromptSize size) {
		super(context, number, size.limit());
		this.prompt = "question " + number + " " + "abc ".repeat(size.tokens());
		this.answerTokens = size.answerTokens();
	}

	@Override
	FleetDaemon.Call send(FleetDaemon daemon, AddressAnswer.Entry entry, int attempt) {
		Sink sink = new Sink(attempt);
		if (this.resuming) {
			long from = this.offset;
			return daemon.call((requests) -> requests.resume(this.id, account(), from, sink), sink::failed,
					() -> disconnected(attempt));
		}
		Optional.ofNullable(this.id).ifPresent(memory()::finished);
		this.id = newId(entry);
		this.offset = 0;
		this.text.setLength(0);
		GenerateRequest request = new GenerateRequest(Optional.of(this.id), account(), FleetDocuments.ASSIST,
				FleetDocuments.MODEL, this.prompt, this.answerTokens, true, timeLeft());
		return daemon.call((requests) -> requests.generate(request, sink), sink::failed, () -> disconnected(attempt));
	}

	@Override
	void onDisconnect() {
		this.resuming = true;
		addresses().invalidate(account());
		retry(Duration.ZERO);
	}

	@Override
	void onFailure(ServingException failure) {
		boolean lost = failure.ran() == Ran.UNKNOWN || failure.code() == ErrorCode.UNKNOWN_REQUEST;
		if (this.resuming && failure.ran() == Ran.NO && failure.code() == ErrorCode.NOT_READY) {
			retry(failure.retryAfter().orElse(Duration.ZERO));
		}
		else if (failure.ran() == Ran.NO || (this.resuming && lost)) {
			if (!this.resuming) {
				this.notRunIds.add(this.id);
			}
			this.resuming = false;
			retry(failure.retryAfter().orElse(Duration.ZERO));
		}
		else {
			end(failure.code() + " ran " + failure.ran());
		}
	}

	@Override
	void end(String result) {
		super.end(result);
		Optional.ofNullable(this.id).ifPresent(memory()::finished);
	}

	@Override
	void check() {
		this.notRunIds.stream()
			.filter((requestId) -> violations().generatedTokens(requestId.toString()))
			.forEach((requestId) -> violations()
				.add(this + " got " + requestId + " reported as not run, but it generated tokens"));
	}

	private void complete() {
		boolean complete = this.offset == this.answerTokens
				&& ExpectedAnswer.text(this.prompt, 0, this.offset).contentEquals(this.text);
		if (!complete) {
			violations().add(this + " received an incomplete or wrong answer of " + this.offset + " tokens");
		}
		end("completed");
	}

	/**
	 * Receives the events of one attempt.
	 */
	private final class Sink implements AnswerSink {

		private final int attempt;

		private boolean ended;

		private Sink(int attempt) {
			this.attempt = attempt;
		}

		@Override
		public void admitted(RequestId issued) {
		}

		@Override
		public void tokens(long from, int tokens, String piece) {
			requireOpen("tokens");
			if (!isCurrent(this.attempt)) {
				return;
			}
			if (from != GenerationCaller.this.offset) {
				violations()
					.add(GenerationCaller.this + " expected offset " + GenerationCaller.this.offset + ", got " + from);
			}
			GenerationCaller.this.offset = from + tokens;
			GenerationCaller.this.text.append(piece);
		}

		@Override
		public void completed(EngineUsage usage) {
			requireOpen("a completion");
			this.ended = true;
			if (completeAttempt(this.attempt)) {
				complete();
			}
		}

		@Override
		public void failed(ServingException failure) {
			requireOpen("a failure");
			this.ended = true;
			GenerationCaller.this.failed(this.attempt, failure);
		}

		private void requireOpen(String event) {
			if (this.ended) {
				violations().add(GenerationCaller.this + " received " + event + " after the end of the attempt");
			}
		}

	}

}
