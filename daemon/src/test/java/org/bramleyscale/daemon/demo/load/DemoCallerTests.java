package org.bramleyscale.daemon.demo.load;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.common.truth.Truth;
import org.bramleyscale.daemon.demo.load.RequestResult.Outcome;
import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.time.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests for {@link DemoCaller} against entries that follow a script.
 */
class DemoCallerTests {

	private static final PlannedRequest BOOKING = new PlannedRequest(1, Workload.BOOKING, "{}", 0);

	private static final PlannedRequest QUOTE = new PlannedRequest(2, Workload.QUOTE, "price?", 2);

	private static final String BOOK = "POST /v1/services/yard-app/bookings ";

	private static final String CHAT = "POST /v1/chat/completions ";

	private final EventLoop loop = new EventLoop("test-callers");

	private final HttpExecution execution = new HttpExecution(this.loop);

	private ScriptedEntry first;

	private ScriptedEntry second;

	@BeforeEach
	void start() throws Exception {
		this.first = new ScriptedEntry("e1~a");
		this.second = new ScriptedEntry("e2~b");
		this.first.names(this.first, this.second);
		this.second.names(this.first, this.second);
	}

	@AfterEach
	void stop() throws Exception {
		this.execution.close();
		this.loop.close();
		this.first.close();
		this.second.close();
	}

	@Test
	void bookingInDoubtIsRepeatedElsewhereUnderItsFirstId() throws Exception {
		// Symptom: two crushers go to one pit.
		// Sequence: the entry takes the booking and its connection breaks; the caller
		// tries another entry with a new id; both run.
		// Cause: a retry in doubt was a new request.
		this.first.cut();
		this.second.whole(201, "{}");
		Truth.assertThat(send(BOOKING).outcome()).isEqualTo(Outcome.COMPLETED);
		Truth.assertThat(this.first.calls()).containsExactly(BOOK + "e1~a~1.0");
		Truth.assertThat(this.second.calls()).containsExactly(BOOK + "e1~a~1.0");
	}

	@Test
	void bookingThatDidNotRunIsRepeatedUnderAnIdOfTheNextEntry() throws Exception {
		this.first.refusal(503, "LEAVING", "no");
		this.second.whole(200, "{}");
		Truth.assertThat(send(BOOKING).outcome()).isEqualTo(Outcome.COMPLETED);
		Truth.assertThat(this.second.calls()).containsExactly(BOOK + "e2~b~1.1");
	}

	@Test
	void bookingOfUnknownFateIsNotRepeated() throws Exception {
		this.first.cut();
		this.second.refusal(503, "HOME_GONE", "unknown");
		Truth.assertThat(send(BOOKING).outcome()).isEqualTo(Outcome.UNKNOWN);
		Truth.assertThat(this.second.calls()).hasSize(1);
	}

	@Test
	void entryThatIsGoneIsPassedOver() throws Exception {
		this.first.close();
		this.second.whole(200, answer(0, "a ", "b "));
		RequestResult result = send(QUOTE);
		Truth.assertThat(result.outcome()).isEqualTo(Outcome.COMPLETED);
		Truth.assertThat(result.admitted()).isTrue();
		Truth.assertThat(result.firstTokenNanos().isPresent()).isTrue();
	}

	@Test
	void brokenStreamIsResumedAtItsOffset() throws Exception {
		this.first.whole(200, events(0, "a "));
		this.second.whole(200, answer(1, "b ", "c "));
		Truth.assertThat(send(QUOTE).outcome()).isEqualTo(Outcome.COMPLETED);
		Truth.assertThat(this.second.calls())
			.containsExactly("GET /v1/requests/e1~a~2.0/stream?offset=1&format=chat&model=hire-13b null");
	}

	@Test
	void streamWhoseHomeIsGoneIsStartedAnew() throws Exception {
		this.first.whole(200, events(0, "a "));
		this.second.refusal(503, "HOME_GONE", "unknown");
		this.first.whole(200, answer(0, "a ", "b "));
		Truth.assertThat(send(QUOTE).outcome()).isEqualTo(Outcome.COMPLETED);
		Truth.assertThat(this.first.calls()).containsExactly(CHAT + "e1~a~2.0", CHAT + "e1~a~2.1").inOrder();
	}

	@Test
	void answerToAnotherPromptIsLost() throws Exception {
		this.first.whole(200, answer(0, "x ", "y "));
		Truth.assertThat(send(QUOTE).outcome()).isEqualTo(Outcome.LOST);
	}

	@Test
	void answerWithAGapIsLost() throws Exception {
		this.first.whole(200, events(0, "a ") + answer(2, "c "));
		Truth.assertThat(send(QUOTE).outcome()).isEqualTo(Outcome.LOST);
	}

	@Test
	void failureInTheStreamIsToldAsSuch() throws Exception {
		this.first.whole(200, events(0, "a ")
				+ "event: error\ndata: {\"error\":{\"code\":\"DEADLINE_EXCEEDED\",\"ran\":\"yes\"}}\n\n");
		Truth.assertThat(send(QUOTE).outcome()).isEqualTo(Outcome.FAILED);
	}

	private RequestResult send(PlannedRequest request) throws Exception {
		ExpectedText expected = (prompt, tokens) -> "a b c ".substring(0, (int) (2 * tokens));
		DemoCaller caller = new DemoCaller(this.loop, this.execution, "key", List.of(this.second.address()), expected);
		CompletableFuture<RequestResult> result = new CompletableFuture<>();
		this.loop.execute(() -> caller.send(request, result::complete));
		return result.get(30, TimeUnit.SECONDS);
	}

	private static String answer(int offset, String... words) {
		return events(offset, words) + "data: {\"choices\":[{\"delta\":{}}]}\n\ndata: [DONE]\n\n";
	}

	private static String events(int offset, String... words) {
		StringBuilder events = new StringBuilder();
		for (int i = 0; i < words.length; i++) {
			events.append("data: {\"choices\":[{\"delta\":{\"content\":\"" + words[i] + "\"}}],\"offset\":")
				.append(offset + i)
				.append(",\"tokens\":1}\n\n");
		}
		return events.toString();
	}

}
