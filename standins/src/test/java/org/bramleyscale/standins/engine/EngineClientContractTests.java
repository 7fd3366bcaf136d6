package org.bramleyscale.standins.engine;

import java.time.Duration;
import java.util.List;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.endpoint.EngineRequest;
import org.bramleyscale.internal.time.Cancellable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * The contract on answers between the client for endpoints and an engine, over loopback.
 */
class EngineClientContractTests {

	private static final Duration SHORT = Duration.ofMillis(300);

	private static final Duration LONG = Duration.ofSeconds(20);

	private static final int ENDLESS = 5000;

	private EngineFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new EngineFixture(EngineFixture.fast());
	}

	@AfterEach
	void stop() throws Exception {
		this.fixture.close();
	}

	static Stream<Arguments> starts() {
		String prompt = EngineFixture.PROMPT;
		return Stream.of(start("refused", Fault.REFUSE, EngineFixture.request(1, 5), ErrorCode.OVERLOADED, Ran.NO),
				start("unknown model", null, request("other", prompt, "", 5, LONG), ErrorCode.UNKNOWN_MODEL, Ran.NO),
				start("too large", null, request("assist", prompt, "", 20_000, LONG), ErrorCode.TOO_LARGE, Ran.NO),
				start("no such hold", null,
						EngineFixture.request(1, "assist", prompt, "", 5, LONG, List.of("engine-1=h1")),
						ErrorCode.CONFLICT, Ran.NO),
				start("other beginning", null, request("assist", prompt, "nonsense ", 5, LONG), ErrorCode.BAD_REQUEST,
						Ran.NO),
				start("no time left", null, request("assist", prompt, "", 5, Duration.ZERO),
						ErrorCode.DEADLINE_EXCEEDED, Ran.NO),
				start("no answer", Fault.FREEZE, request("assist", prompt, "", 5, SHORT), ErrorCode.DEADLINE_EXCEEDED,
						Ran.UNKNOWN),
				start("connection lost", Fault.DROP_STARTS, EngineFixture.request(1, 5), ErrorCode.ENDPOINT_FAILED,
						Ran.UNKNOWN));
	}

	@ParameterizedTest(name = "{0}")
	@MethodSource("starts")
	void tellsWhetherAFailedStartRan(String name, Fault fault, EngineRequest request, ErrorCode code, Ran ran)
			throws Exception {
		if (fault != null) {
			this.fixture.fault(fault);
		}
		RecordingListener listener = this.fixture.generate(request);
		ServingException failure = RecordingListener.await(listener.failed);
		Truth.assertThat(failure.code()).isEqualTo(code);
		Truth.assertThat(failure.ran()).isEqualTo(ran);
		Truth.assertThat(failure.step()).isEqualTo(Step.START);
		Truth.assertThat(failure.peer()).isEqualTo("engine-1");
		Truth.assertThat(listener.accepted.isDone()).isFalse();
	}

	@Test
	void tellsThatNothingRanWhereNobodyListens() throws Exception {
		this.fixture.engine.kill();
		ServingException failure = RecordingListener.await(this.fixture.generate(EngineFixture.request(1, 5)).failed);
		Truth.assertThat(failure.ran()).isEqualTo(Ran.NO);
		Truth.assertThat(failure.step()).isEqualTo(Step.CONNECT);
	}

	@Test
	void tellsThatItRanWhenTheEngineDiesInMidStream() throws Exception {
		RecordingListener listener = this.fixture.generate(EngineFixture.request(1, ENDLESS));
		RecordingListener.await(listener.firstFrame);
		this.fixture.engine.kill();
		ServingException failure = RecordingListener.await(listener.failed);
		Truth.assertThat(failure.ran()).isEqualTo(Ran.YES);
		Truth.assertThat(failure.step()).isEqualTo(Step.STREAM);
	}

	@Test
	void answersWholeWithUsage() throws Exception {
		RecordingListener listener = this.fixture.generate(EngineFixture.request(1, 20));
		Truth.assertThat(RecordingListener.await(listener.completed).answerTokens()).isEqualTo(20);
		Truth.assertThat(listener.text()).isEqualTo(ExpectedAnswer.text(EngineFixture.PROMPT, 0, 20));
	}

	@Test
	void continuesAnAnswerBegunElsewhere() throws Exception {
		String begun = ExpectedAnswer.text(EngineFixture.PROMPT, 0, 1);
		RecordingListener listener = this.fixture.generate(request("assist", EngineFixture.PROMPT, begun, 20, LONG));
		RecordingListener.await(listener.completed);
		Truth.assertThat(listener.text()).isEqualTo(ExpectedAnswer.text(EngineFixture.PROMPT, 1, 20));
	}

	@Test
	void resumesAStreamThatWentSilent() throws Exception {
		// Symptom: an answer stops in the middle though its engine is well. Sequence: the
		// stream goes silent without an error; new connections work. Cause: something
		// between the two ends has lost track of the connection.
		RecordingListener first = this.fixture.generate(EngineFixture.request(1, 400));
		RecordingListener.await(first.firstFrame);
		this.fixture.fault(Fault.SILENT_STREAMS);
		RecordingListener rest = new RecordingListener();
		this.fixture.loop.execute(() -> this.fixture.client.resume(this.fixture.entry(), EngineFixture.ID, 1, 1, rest));
		RecordingListener.await(rest.completed);
		Truth.assertThat(rest.text()).isEqualTo(ExpectedAnswer.text(EngineFixture.PROMPT, 1, 400));
		Truth.assertThat(first.completed.isDone()).isFalse();
	}

	@Test
	void doesNotKnowWhetherAForgottenAttemptRan() throws Exception {
		RecordingListener listener = new RecordingListener();
		this.fixture.loop
			.execute(() -> this.fixture.client.resume(this.fixture.entry(), EngineFixture.ID, 9, 0, listener));
		ServingException failure = RecordingListener.await(listener.failed);
		Truth.assertThat(failure.code()).isEqualTo(ErrorCode.UNKNOWN_REQUEST);
		Truth.assertThat(failure.ran()).isEqualTo(Ran.UNKNOWN);
		Truth.assertThat(failure.step()).isEqualTo(Step.RESUME);
	}

	@Test
	void runsAnAttemptOnceThatIsSentTwice() throws Exception {
		RecordingListener first = this.fixture.generate(EngineFixture.request(1, 50));
		RecordingListener second = this.fixture.generate(EngineFixture.request(1, 50));
		RecordingListener.await(first.completed);
		RecordingListener.await(second.completed);
		Truth.assertThat(second.text()).isEqualTo(first.text());
		Truth.assertThat(this.fixture.engine(() -> this.fixture.engine.state().counts().snapshot().started()))
			.isEqualTo(1);
	}

	@Test
	void closingTheConnectionDoesNotCancelTheWork() throws Exception {
		RecordingListener listener = new RecordingListener();
		Cancellable stream = this.fixture
			.engine(() -> this.fixture.client.generate(this.fixture.entry(), EngineFixture.request(1, 300), listener));
		RecordingListener.await(listener.firstFrame);
		this.fixture.engine(() -> {
			stream.cancel();
			return true;
		});
		RecordingListener rest = new RecordingListener();
		this.fixture.loop.execute(() -> this.fixture.client.resume(this.fixture.entry(), EngineFixture.ID, 1, 0, rest));
		RecordingListener.await(rest.completed);
		Truth.assertThat(listener.completed.isDone() || listener.failed.isDone()).isFalse();
	}

	/** Guards against calls that time out on connections which went silent earlier. */
	@Test
	void callsOverAConnectionOfItsOwn() throws Exception {
		try (SilencingProxy proxy = new SilencingProxy(this.fixture.engine.port())) {
			RecordingListener one = this.fixture.generate(proxy.port(), EngineFixture.request(1, 100));
			RecordingListener two = this.fixture.generate(proxy.port(), EngineFixture.request(2, 100));
			RecordingListener.await(one.completed);
			RecordingListener.await(two.completed);
			proxy.silenceOpenConnections();
			RecordingListener next = this.fixture.generate(proxy.port(),
					EngineFixture.request(3, "assist", EngineFixture.PROMPT, "", 5, LONG, List.of()));
			RecordingListener.await(next.completed);
			Truth.assertThat(proxy.connections()).isEqualTo(3);
			this.fixture.call(() -> this.fixture.client.report(this.fixture.entry(proxy.port())));
			Truth.assertThat(proxy.connections()).isEqualTo(4);
		}
	}

	private static EngineRequest request(String model, String prompt, String delivered, int maxTokens,
			Duration timeLeft) {
		return EngineFixture.request(1, model, prompt, delivered, maxTokens, timeLeft, List.of());
	}

	private static Arguments start(String name, Fault fault, EngineRequest request, ErrorCode code, Ran ran) {
		return Arguments.of(name, fault, request, code, ran);
	}

}
