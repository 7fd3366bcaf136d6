package org.bramleyscale.internal.http;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.function.Consumer;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Incarnation;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.AnswerSink;
import org.bramleyscale.internal.request.GenerateRequest;
import org.bramleyscale.internal.request.PlainRequest;
import org.bramleyscale.internal.request.PlainSink;
import org.bramleyscale.internal.request.RequestService;
import org.bramleyscale.internal.time.Cancellable;

/**
 * Answers each request as a test scripted it and tells the test what it was asked.
 */
final class FakeRequests implements RequestService {

	static final RequestId ISSUED = new RequestId(new Incarnation(new VmId("entry-1"), 36), "7");

	final BlockingQueue<GenerateRequest> generated = new LinkedBlockingQueue<>();

	final BlockingQueue<PlainRequest> called = new LinkedBlockingQueue<>();

	final BlockingQueue<Long> resumedFrom = new LinkedBlockingQueue<>();

	final BlockingQueue<RequestId> cancelled = new LinkedBlockingQueue<>();

	final BlockingQueue<String> gone = new LinkedBlockingQueue<>();

	final BlockingQueue<AnswerSink> sinks = new LinkedBlockingQueue<>();

	volatile Consumer<AnswerSink> script = FakeRequests::answerThreeWords;

	static void answerThreeWords(AnswerSink sink) {
		sink.admitted(ISSUED);
		sink.tokens(0, 1, "one ");
		sink.tokens(1, 2, "two \"three\"\n");
		sink.completed(new EngineUsage(5, 2, 3, "stop"));
	}

	static void refuse(AnswerSink sink) {
		sink.failed(rateLimited());
	}

	static ServingException rateLimited() {
		return new ServingException(ErrorCode.RATE_LIMITED, Ran.NO, Step.ADMIT, "self", "limit used up",
				Duration.ofMillis(1200));
	}

	@Override
	public Cancellable generate(GenerateRequest request, AnswerSink sink) {
		this.generated.add(request);
		return answer(sink);
	}

	@Override
	public Cancellable resume(RequestId id, ClientAccountId account, long offset, AnswerSink sink) {
		this.resumedFrom.add(offset);
		return answer(sink);
	}

	private Cancellable answer(AnswerSink sink) {
		this.script.accept(sink);
		this.sinks.add(sink);
		return () -> this.gone.add("gone");
	}

	@Override
	public void cancel(RequestId id, ClientAccountId account) {
		this.cancelled.add(id);
	}

	@Override
	public Cancellable call(PlainRequest request, PlainSink sink) {
		this.called.add(request);
		sink.admitted(ISSUED);
		sink.completed(new ServiceReply(201, Map.of("Content-Type", "text/plain"),
				("booked " + request.path()).getBytes(StandardCharsets.UTF_8)));
		return () -> this.gone.add("gone");
	}

	@Override
	public void leave() {
	}

	@Override
	public int unfinished() {
		return 0;
	}

}
