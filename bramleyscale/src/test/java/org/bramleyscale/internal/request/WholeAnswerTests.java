package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.Locale;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Incarnation;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.endpoint.EngineFrame;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.request.forward.ForwardDone;
import org.bramleyscale.internal.request.forward.ForwardTokens;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that each caller receives the whole answer to its own request.
 */
class WholeAnswerTests {

	private static final String TEXT = RequestFixture.ANSWER;

	private static final int END = TEXT.length();

	private static final Duration SILENCE = Duration.ofSeconds(5);

	private final RequestFixture fixture = new RequestFixture();

	private final DefaultRequestService service = this.fixture.daemon("entry-1");

	private final DefaultRequestService other = this.fixture.daemon("entry-2");

	private final RecordingSink sink = new RecordingSink();

	static Stream<Arguments> streams() {
		return Stream.of(row("in order", (engine) -> engine.frames(TEXT, 0, END)), row("duplicated", (engine) -> {
			engine.frames(TEXT, 0, END);
			engine.frames(TEXT, 0, END);
		}), row("reordered", (engine) -> {
			engine.frames(TEXT, 0, 5);
			engine.frames(TEXT, 8, END);
			engine.frames(TEXT, 5, 8);
		}), row("overlapping", (engine) -> {
			engine.frames(TEXT, 0, 9);
			engine.frame(4, 16, TEXT.substring(4, 20));
			engine.frame(2, END - 2, TEXT.substring(2));
		}), row("with a frame of another attempt", (engine) -> {
			engine.frames(TEXT, 0, 5);
			engine.listener.frame(new EngineFrame(engine.id, 9, 5, 3, "xyz"));
			engine.frames(TEXT, 5, END);
		}), row("with a frame of another request", (engine) -> {
			engine.frames(TEXT, 0, 5);
			engine.listener.frame(new EngineFrame(RequestFixture.id("entry-1", "else"), 1, 5, 3, "xyz"));
			engine.frames(TEXT, 5, END);
		}));
	}

	/**
	 * Guards against duplicated, missing or foreign text in an answer. Frames arrive
	 * late, out of order or twice, or belong to another attempt or request, and the
	 * stream is forwarded as it arrives.
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("streams")
	void framesAreAssembledIntoOneAnswer(String name, Consumer<FakeEngines.Connection> stream) {
		FakeEngines.Connection engine = start(true);
		stream.accept(engine);
		engine.complete(END);
		expectWhole(this.sink);
		Truth.assertThat(this.fixture.engines.connections).hasSize(1);
	}

	/**
	 * Guards against an answer that stalls until its deadline or is truncated. Frames are
	 * lost, or the connection breaks or delivers nothing in one direction, before or
	 * after the first token. This happens when a network element between the two ends has
	 * lost the state of the connection; the engine still has the answer.
	 */
	@ParameterizedTest
	@CsvSource({ "SILENT, 0", "SILENT, 7", "BREAKS, 0", "BREAKS, 7", "GAP, 7", "ENDS_EARLY, 7" })
	void answerIsResumedOverANewConnection(String fault, int at) {
		FakeEngines.Connection old = start(false);
		old.listener.accepted();
		old.frames(TEXT, 0, at);
		switch (fault) {
			case "BREAKS" -> old.listener.failed(FakeEngines.failure(Ran.UNKNOWN, Step.STREAM));
			case "GAP" -> old.frames(TEXT, at + 3, at + 9);
			case "ENDS_EARLY" -> old.complete(END);
			default -> this.fixture.advance(SILENCE);
		}
		this.fixture.advance(SILENCE);
		FakeEngines.Connection resumed = this.fixture.engines.last();
		Truth.assertThat(resumed.offset).isEqualTo(at);
		resumed.frames(TEXT, at, END);
		Truth.assertThat(resumed.closed || old.closed || !"SILENT".equals(fault)).isTrue();
		old.frames(TEXT, 0, 3);
		resumed.complete(END);
		old.complete(3);
		expectWhole(this.sink);
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(1);
	}

	/**
	 * Guards against an inconsistent or missing answer after its engine failed midway.
	 * Another engine that starts from the beginning would generate a different text.
	 */
	@Test
	void anotherEngineContinuesARepeatableAnswer() {
		FakeEngines.Connection failing = start(true);
		failing.frames(TEXT, 0, 7);
		failing.listener.failed(FakeEngines.failure(Ran.YES, Step.STREAM));
		refuseResumes();
		FakeEngines.Connection next = this.fixture.engines.last();
		Truth.assertThat(next.endpoint.name()).isNotEqualTo(failing.endpoint.name());
		Truth.assertThat(next.request.attempt()).isEqualTo(2);
		Truth.assertThat(next.request.delivered()).isEqualTo(TEXT.substring(0, 7));
		Truth.assertThat(next.request.firstOffset()).isEqualTo(7);
		failing.frames(TEXT.toUpperCase(Locale.ROOT), 7, 20);
		next.frames(TEXT, 7, END);
		next.complete(END);
		expectWhole(this.sink);
		Truth.assertThat(this.fixture.count("entry-1", "lateFrames")).isEqualTo(13);
		Truth.assertThat(this.fixture.count("entry-1", "continuations")).isEqualTo(1);
		Truth.assertThat(Set.copyOf(this.fixture.engines.cancels)).containsExactly("engine-1 entry-1~1~_0 1");
	}

	/** Guards against an answer with the text of another request or attempt. */
	@Test
	void framesOfOtherRequestsAndAttemptsAreRefused() {
		FakeEngines.Connection connection = start(true);
		RequestId other = new RequestId(connection.id.issuer(), "other");
		connection.listener.frame(new EngineFrame(other, connection.attempt, 0, 1, "X"));
		connection.listener.frame(new EngineFrame(connection.id, connection.attempt + 1, 0, 1, "X"));
		connection.frames(TEXT, 0, END);
		connection.complete(END);
		expectWhole(this.sink);
		Truth.assertThat(this.fixture.count("entry-1", "lateFrames")).isEqualTo(2);
	}

	@ParameterizedTest
	@CsvSource({ "0, ENDPOINT_FAILED UNKNOWN", "7, ENDPOINT_FAILED YES" })
	void failedEngineEndsANotRepeatableAnswerImmediately(int at, String end) {
		FakeEngines.Connection failing = start(false);
		failing.frames(TEXT, 0, at);
		failing.listener.failed(FakeEngines.failure(Ran.UNKNOWN, Step.STREAM));
		refuseResumes();
		Truth.assertThat(this.sink.end()).isEqualTo(end);
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(1);
		Truth.assertThat(this.fixture.engines.connections).hasSize(2);
		Truth.assertThat(Set.copyOf(this.fixture.engines.cancels)).containsExactly("engine-1 entry-1~1~_0 1");
	}

	@Test
	void longPrefillDoesNotFailTheAttempt() {
		FakeEngines.Connection engine = start(true);
		engine.listener.accepted();
		for (int probe = 1; probe <= 8; probe++) {
			this.fixture.advance(SILENCE);
			Truth.assertThat(this.fixture.engines.connections).hasSize(1 + probe);
			this.fixture.engines.last().listener.accepted();
		}
		this.fixture.engines.last().frames(TEXT, 0, END);
		this.fixture.engines.last().complete(END);
		expectWhole(this.sink);
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(1);
	}

	/**
	 * Guards against losing the rest of an answer when the connection of its caller
	 * breaks. The caller resumes at the same or another daemon, during the generation or
	 * after its end, and the answer must not exist on the broken connection only.
	 */
	@ParameterizedTest
	@CsvSource({ "entry-1, 7, false", "entry-2, 7, false", "entry-1, 7, true", "entry-2, 7, true", "entry-2, 0, true",
			"entry-2, 41, true" })
	void callerResumesAtItsOffset(String at, int offset, boolean afterEnd) {
		FakeEngines.Connection engine = start(true);
		engine.frames(TEXT, 0, (afterEnd) ? END : 12);
		if (afterEnd) {
			engine.complete(END);
		}
		RecordingSink rest = new RecordingSink(offset);
		DefaultRequestService reached = ("entry-1".equals(at)) ? this.service : this.other;
		reached.resume(this.sink.id(), RequestFixture.ACCOUNT, offset, rest);
		this.fixture.run();
		if (!afterEnd) {
			engine.frames(TEXT, 12, END);
			engine.complete(END);
		}
		this.fixture.run();
		Truth.assertThat(rest.text.toString()).isEqualTo(TEXT.substring(offset));
		Truth.assertThat(rest.end()).isEqualTo("completed");
		Truth.assertThat(rest.violations).isEmpty();
		expectWhole(this.sink);
	}

	@Test
	void answerOfAnotherAccountIsNotAccessible() {
		start(true).frames(TEXT, 0, 7);
		RecordingSink foreignSink = new RecordingSink();
		this.service.resume(this.sink.id(), RequestFixture.OTHER_ACCOUNT, 0, foreignSink);
		Truth.assertThat(foreignSink.end()).isEqualTo("UNKNOWN_REQUEST UNKNOWN");
		Truth.assertThat(foreignSink.text.toString()).isEmpty();
	}

	/**
	 * Guards against a caller at another daemon that never receives the end of its
	 * answer. A part or the end is lost between the daemons, and neither side is
	 * notified.
	 */
	@ParameterizedTest
	@CsvSource({ "0", "20", "40", "41" })
	void messageLossBetweenDaemonsIsRecovered(int lostOffset) {
		int[] count = { 0 };
		this.fixture.peers.lost = (message) -> {
			boolean lostPart = message instanceof ForwardTokens tokens && tokens.offset() == lostOffset;
			boolean end = message instanceof ForwardDone && lostOffset == END;
			return (lostPart || end) && ++count[0] == 1;
		};
		FakeEngines.Connection engine = startAtOther();
		engine.frames(TEXT, 0, END);
		engine.complete(END);
		this.fixture.advance(SILENCE.multipliedBy(2));
		expectWhole(this.sink);
	}

	/**
	 * Guards against a truncated answer although the entry of its caller is available.
	 * The home fails while it streams through another entry. The entry has the prompt and
	 * the tokens that it delivered, and continues the answer from them.
	 */
	@Test
	void entryContinuesARepeatableAnswerOfAFailedHome() {
		FakeEngines.Connection engine = startAtOther();
		engine.frames(TEXT, 0, 7);
		this.fixture.run();
		this.fixture.peers.unreachable.add(new VmId("entry-1"));
		this.fixture.peers.state(new Incarnation(new VmId("entry-1"), 1), Member.State.DEAD);
		this.fixture.run();
		FakeEngines.Connection next = this.fixture.engines.last();
		Truth.assertThat(next.request.delivered()).isEqualTo(TEXT.substring(0, 7));
		Truth.assertThat(next.id.issuer().vm()).isEqualTo(new VmId("entry-2"));
		next.frames(TEXT, 7, END);
		next.complete(END);
		expectWhole(this.sink);
		RecordingSink again = new RecordingSink(7);
		this.other.resume(this.sink.id(), RequestFixture.ACCOUNT, 7, again);
		Truth.assertThat(again.text.toString()).isEqualTo(TEXT.substring(7));
	}

	@Test
	void longPromptsAndAnswersAreForwardedInParts() {
		String prompt = "Bến xe ".repeat(200_000);
		String answer = "xin chào ".repeat(40_000);
		GenerateRequest quote = RequestFixture.quote(RequestFixture.id("entry-1", "long"), true);
		this.other.generate(new GenerateRequest(quote.id(), quote.account(), quote.service(), quote.model(), prompt,
				quote.maxTokens(), true, RequestFixture.TIME_LIMIT), this.sink);
		this.fixture.run();
		FakeEngines.Connection engine = this.fixture.engines.last();
		Truth.assertThat(engine.request.prompt().equals(prompt)).isTrue();
		for (int offset = 0; offset < answer.length(); offset += 9) {
			engine.frame(offset, 9, answer.substring(offset, offset + 9));
		}
		engine.complete(answer.length());
		this.fixture.run();
		Truth.assertThat(this.sink.text.toString().equals(answer)).isTrue();
		Truth.assertThat(this.sink.end()).isEqualTo("completed");
	}

	private FakeEngines.Connection start(boolean repeatable) {
		this.service.generate(RequestFixture.quote(null, repeatable), this.sink);
		this.fixture.run();
		return this.fixture.engines.last();
	}

	private FakeEngines.Connection startAtOther() {
		this.other.generate(RequestFixture.quote(RequestFixture.id("entry-1", "q"), true), this.sink);
		this.fixture.run();
		return this.fixture.engines.last();
	}

	private void refuseResumes() {
		int worked = (int) this.fixture.engines.sentWork();
		for (int round = 0; round < 5 && this.fixture.engines.sentWork() == worked; round++) {
			FakeEngines.Connection resumed = this.fixture.engines.last();
			if (resumed.request == null && !resumed.closed) {
				resumed.listener.failed(new ServingException(ErrorCode.UNKNOWN_REQUEST, Ran.NO, Step.RESUME, "engine",
						"unknown attempt"));
			}
			this.fixture.advance(Duration.ofMillis(500));
		}
	}

	private static void expectWhole(RecordingSink sink) {
		Truth.assertThat(sink.text.toString()).isEqualTo(TEXT);
		Truth.assertThat(sink.end()).isEqualTo("completed");
		Truth.assertThat(sink.violations).isEmpty();
	}

	private static Arguments row(String name, Consumer<FakeEngines.Connection> stream) {
		return Arguments.of(name, stream);
	}

}
