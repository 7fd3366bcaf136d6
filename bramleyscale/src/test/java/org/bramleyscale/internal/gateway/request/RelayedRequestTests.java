package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.load.EndpointLoad;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link RelayedRequest} with endpoints that fail in different ways.
 */
class RelayedRequestTests {

	private final RelayFixture fixture = new RelayFixture();

	@ParameterizedTest
	@ValueSource(strings = { "/book/1", "/log/1" })
	void relaysResponseUnchanged(String path) {
		RecordingCaller caller = this.fixture.call(path);
		this.fixture.last().respond(201, false, "body");
		Truth.assertThat(caller.received.toString()).isEqualTo("201 body");
		Truth.assertThat(this.fixture.endedRequests()).isEqualTo(1);
	}

	@ParameterizedTest
	@CsvSource({ "/book/1, not sent, 2, 200 ok", "/book/1, refused, 2, 200 ok", "/book/1, broken, 1, own 502",
			"/book/1, 500, 1, 500 bad", "/book/1, unsigned, 1, own 502", "/log/1, not sent, 2, 200 ok",
			"/log/1, refused, 2, 200 ok", "/log/1, broken, 2, 200 ok", "/log/1, 500, 2, 200 ok",
			"/log/1, unsigned, 2, 200 ok" })
	void resendsOnlyIfNotRunOrRepeatable(String path, String failure, int sent, String got) {
		// Guards against running a booking twice: an endpoint runs it and its response is
		// lost, and the daemon resends it to another endpoint because a lost response
		// looks like a request that never arrived.
		RecordingCaller caller = this.fixture.call(path);
		fail(this.fixture.last(), failure);
		if (sent == 2) {
			this.fixture.last().respond(200, false, "ok");
		}
		Truth.assertThat(this.fixture.sent).hasSize(sent);
		Truth.assertThat(caller.received.toString()).isEqualTo(got);
		if (sent == 2) {
			Truth.assertThat(this.fixture.sent.get(0).to).isNotEqualTo(this.fixture.sent.get(1).to);
		}
	}

	/**
	 * Guards against attributing the response of a later endpoint at the same address to
	 * the one that crashed there.
	 */
	@ParameterizedTest
	@CsvSource({ "421, true, 0", "503, true, 0", "200, false, 1", "500, false, 1" })
	void onlyTheEndpointsOwnResponseCountsAsItsAnswer(int status, boolean notRun, int responses) {
		this.fixture.call("/book/1");
		this.fixture.last().respond(status, notRun, "");
		Truth.assertThat(this.fixture.crashGuard.answeredEndpoints).hasSize(responses);
	}

	/**
	 * Guards against a single trial that reaches several endpoints, each of which refuses
	 * it.
	 */
	@ParameterizedTest
	@CsvSource({ "refused, 1", "not sent, 2" })
	void trialIsRepeatedOnlyIfItReachedNoEndpoint(String failure, int sent) {
		this.fixture.crashGuard.trialsOnly = true;
		this.fixture.call("/book/1");
		fail(this.fixture.last(), failure);
		Truth.assertThat(this.fixture.sent).hasSize(sent);
	}

	/** Guards against callers that wait at a daemon which reaches no endpoint. */
	@ParameterizedTest
	@ValueSource(strings = { "/book/1", "/log/1", "/stream/1" })
	void requestWithoutAPathIsRefusedAtOnce(String path) {
		this.fixture.pathLost = true;
		RecordingCaller caller = this.fixture.call(path);
		Truth.assertThat(caller.received.toString()).isEqualTo("own 503");
		Truth.assertThat(caller.retryAfter).isEqualTo(Duration.ofMillis(10));
		Truth.assertThat(this.fixture.sent).isEmpty();
	}

	/** Guards against a hung request that holds its caller until the deadline. */
	@ParameterizedTest
	@CsvSource({ "0, own 502", "2, begin s200 1 2 abort" })
	void silentRequestWithoutAPathEndsWithoutAnotherTry(int events, String got) {
		RecordingCaller caller = this.fixture.call("/stream/1");
		if (events > 0) {
			this.fixture.last().sendEvents(1, events);
		}
		this.fixture.pathLost = true;
		this.fixture.scheduler.advance(Duration.ofSeconds(2));
		Truth.assertThat(caller.received.toString()).isEqualTo(got);
		Truth.assertThat(this.fixture.sent).hasSize(1);
	}

	@Test
	void reportsNotRunOnlyIfEveryEndpointConfirmsIt() {
		RecordingCaller caller = this.fixture.call("/book/1");
		for (int i = 0; i < 3; i++) {
			this.fixture.last().respond(503, true, "");
		}
		Truth.assertThat(caller.received.toString()).isEqualTo("own 503");
		Truth.assertThat(caller.retryAfter).isGreaterThan(Duration.ZERO);
	}

	@Test
	void neverReportsNotRunAfterALostResponse() {
		// Guards against reporting "not run" after a run: the first endpoint's response
		// is lost, the second endpoint refuses, and only the last response is considered,
		// so the caller books again.
		RecordingCaller caller = this.fixture.call("/log/1");
		this.fixture.last().listener.failed(true, "reset");
		this.fixture.last().respond(503, true, "");
		while (caller.received.length() == 0) {
			this.fixture.last().respond(503, true, "");
		}
		Truth.assertThat(caller.received.toString()).isEqualTo("own 502");
	}

	@Test
	void streamResumesOnAnotherEndpointAfterItsLastCompleteEvent() {
		RecordingCaller caller = this.fixture.call("/stream/1");
		this.fixture.last().sendEvents(1, 3);
		this.fixture.last().listener.data("id: 4\nda".getBytes());
		this.fixture.last().listener.failed(true, "reset");
		Truth.assertThat(this.fixture.last().request.lastEventId()).hasValue("3");
		this.fixture.last().sendEvents(4, 5);
		this.fixture.last().listener.complete();
		Truth.assertThat(caller.received.toString()).isEqualTo("begin s200 1 2 3 4 5 end");
	}

	@Test
	void duplicateEventsAreDroppedAfterResume() {
		RecordingCaller caller = this.fixture.call("/stream/1");
		this.fixture.last().sendEvents(1, 3);
		this.fixture.last().listener.failed(true, "reset");
		this.fixture.last().sendEvents(2, 4);
		this.fixture.last().listener.complete();
		Truth.assertThat(caller.received.toString()).isEqualTo("begin s200 1 2 3 4 end");
	}

	@Test
	void streamThatCannotResumeIsAborted() {
		RecordingCaller caller = this.fixture.call("/stream/1");
		this.fixture.last().sendEvents(1, 2);
		this.fixture.last().listener.failed(true, "reset");
		this.fixture.last().sendEvents(3, 3);
		this.fixture.last().listener.failed(true, "reset");
		Truth.assertThat(caller.received.toString()).isEqualTo("begin s200 1 2 3 abort");
		Truth.assertThat(this.fixture.sent).hasSize(2);
	}

	@ParameterizedTest
	@CsvSource({ "0, 1400", "2, 1400" })
	void silentStreamFailsOverBeforeItsCallerGivesUp(int events, long millis) {
		// Guards against callers that give up after two seconds while other engines are
		// idle: an engine accepts a request and then stays silent, with its connection
		// open.
		this.fixture.call("/stream/1");
		SentRequest first = this.fixture.last();
		if (events > 0) {
			first.sendEvents(1, events);
		}
		this.fixture.scheduler.advance(Duration.ofMillis(millis + 1));
		Truth.assertThat(first.cancelled).isTrue();
		Truth.assertThat(this.fixture.sent).hasSize(2);
	}

	/** Guards against giving up on a sound endpoint that is silent for a second or so. */
	@ParameterizedTest
	@CsvSource({ "/stream/1, 0", "/stream/1, 2", "/log/1, 0" })
	void requestOutlastsTheSilenceOfASoundEndpoint(String path, int events) {
		RecordingCaller caller = this.fixture.call(path);
		if (events > 0) {
			this.fixture.last().sendEvents(1, events);
		}
		this.fixture.scheduler.advance(Backend.LONGEST_SOUND_SILENCE);
		Truth.assertThat(this.fixture.sent).hasSize(1);
		Truth.assertThat(this.fixture.last().cancelled).isFalse();
		Truth.assertThat(caller.received.toString()).doesNotContain("own");
	}

	@ParameterizedTest
	@CsvSource({ "0, 1400, 1, 3", "2, 1400, 1, 3", "0, 1400, 0, 1", "2, 1400, 0, 1" })
	void busyEngineTimeoutIsExtendedTwice(int events, long limit, int helpers, int times) {
		// Guards against treating engines that still prefill other prompts as failed:
		// when twenty long prompts arrived within 3 s, prompts that would have been
		// served in 8 s were prefilled twice and ended after 12 s without a response. A
		// prompt without helpers gets no extension, since prefilling it again is quick.
		this.fixture.scriptedPlacements.add(Placement.at(this.fixture.engine("a"),
				(helpers > 0) ? List.of(this.fixture.engine("b")) : List.of(), 0, 0, "split"));
		this.fixture.call("/stream/1");
		SentRequest sent = this.fixture.last();
		this.fixture.loads.begin(sent.to.start(), 60_000, 0, true, EndpointLoad.ANY_PAUSE);
		if (events > 0) {
			sent.sendEvents(1, events);
		}
		this.fixture.scheduler.advance(Duration.ofMillis(times * limit - 1));
		Truth.assertThat(sent.cancelled).isFalse();
		this.fixture.scheduler.advance(Duration.ofMillis(2));
		Truth.assertThat(sent.cancelled).isTrue();
		Truth.assertThat(this.fixture.sent).hasSize(2);
	}

	@Test
	void resumedStreamHasTheRestOfItsTimeout() {
		// Guards against aborting a started stream while engines are free: an engine
		// crashes 3 s after the request arrived, and the caller timeout
		// for the first event is applied to the rest of the stream.
		this.fixture.call("/stream/1");
		Truth.assertThat(this.fixture.lastPlacementRequest.timeLeft()).isEqualTo(Duration.ofSeconds(2));
		for (int i = 1; i <= 6; i++) {
			this.fixture.last().sendEvents(i, i);
			this.fixture.scheduler.advance(Duration.ofMillis(500));
		}
		this.fixture.last().listener.failed(true, "reset");
		Truth.assertThat(this.fixture.lastPlacementRequest.timeLeft()).isEqualTo(Duration.ofSeconds(7));
	}

	@Test
	void deferredRequestIsPlacedAgain() {
		for (int i = 0; i < 4; i++) {
			this.fixture.scriptedPlacements.add(Placement.waiting(100, "lane reads"));
		}
		this.fixture.call("/stream/1");
		this.fixture.scheduler.advance(Duration.ofMillis(99));
		Truth.assertThat(this.fixture.sent).isEmpty();
		this.fixture.scheduler.advance(Duration.ofMillis(1));
		Truth.assertThat(this.fixture.sent).hasSize(1);
		Truth.assertThat(this.fixture.lastPlacementRequest.waited()).isEqualTo(Duration.ofMillis(100));
	}

	@ParameterizedTest
	@CsvSource({ "true, ''", "false, own 503" })
	void deferredRequestEndsOnDisconnectOrDeadline(boolean leaves, String got) {
		for (int i = 0; i < 500; i++) {
			this.fixture.scriptedPlacements.add(Placement.waiting(100, "lane reads"));
		}
		RecordingCaller caller = this.fixture.call("/stream/1", Duration.ofSeconds(3));
		this.fixture.scheduler.advance(Duration.ofMillis(1_000));
		if (leaves) {
			caller.request.callerDisconnected();
		}
		this.fixture.scheduler.advance(Duration.ofSeconds(4));
		Truth.assertThat(caller.received.toString()).isEqualTo(got);
		Truth.assertThat(this.fixture.sent).isEmpty();
		Truth.assertThat(this.fixture.endedRequests()).isEqualTo(1);
	}

	@ParameterizedTest
	@CsvSource({ "/book/1, 1, own 504", "/stream/1, 2, own 504" })
	void endsAtItsDeadline(String path, int sent, String got) {
		RecordingCaller caller = this.fixture.call(path, Duration.ofMillis(3_000));
		this.fixture.scheduler.advance(Duration.ofMillis(3_000));
		Truth.assertThat(this.fixture.sent).hasSize(sent);
		Truth.assertThat(caller.received.toString()).isEqualTo(got);
		Truth.assertThat(this.fixture.last().cancelled).isTrue();
		Truth.assertThat(this.fixture.endedRequests()).isEqualTo(1);
	}

	@Test
	void cancelsTheAttemptWhenTheCallerDisconnects() {
		RecordingCaller caller = this.fixture.call("/stream/1");
		this.fixture.last().sendEvents(1, 1);
		caller.request.callerDisconnected();
		Truth.assertThat(this.fixture.last().cancelled).isTrue();
		Truth.assertThat(this.fixture.loads.load(this.fixture.last().to.start())).isEqualTo(EndpointLoad.IDLE);
		this.fixture.last().listener.failed(true, "late");
		Truth.assertThat(this.fixture.sent).hasSize(1);
	}

	@Test
	void retryBudgetBoundsResends() {
		for (int i = 0; i < 6; i++) {
			this.fixture.call("/log/" + i);
			this.fixture.last().listener.failed(true, "reset");
		}
		// Six first sendings, and the three retries that the share of the constant
		// allows.
		Truth.assertThat(this.fixture.sent).hasSize(6 + 3);
	}

	/** Guards against callers that wait although another endpoint would take them now. */
	@ParameterizedTest
	@CsvSource({ "false, 20", "true, 300" })
	void callerRefusedForWantOfBudgetReturnsSoonIfItWouldBeTaken(boolean othersBusy, long retryAfterMillis) {
		for (int i = 0; i < RelayFixture.RETRY_CONSTANT; i++) {
			this.fixture.call("/log/" + i);
			this.fixture.last().listener.failed(true, "reset");
		}
		RecordingCaller caller = this.fixture.call("/book/1");
		if (othersBusy) {
			this.fixture.scriptedPlacements.add(Placement.waiting(100, "lane reads"));
		}
		this.fixture.last().respond(503, true, "");
		Truth.assertThat(caller.received.toString()).isEqualTo("own 503");
		Truth.assertThat(caller.retryAfter).isEqualTo(Duration.ofMillis(retryAfterMillis));
	}

	@ParameterizedTest
	@CsvSource({ "/stream/1, 250", "/any-pause/1, 2147483647", "/book/1, 2147483647" })
	void recordsTheLongestPauseOfTheRoute(String path, int pause) {
		// Guards against long prompts that wait although engines are almost idle: a
		// stream's route declares no pause, and if this counts as a pause of 0 ms, no
		// engine that is generating the stream has room for a long prompt.
		this.fixture.call(path);
		Truth.assertThat(this.fixture.loads.load(this.fixture.last().to.start()).pauseMillis()).isEqualTo(pause);
	}

	@Test
	void loadIsSpreadOverEndpoints() {
		for (int i = 0; i < 3; i++) {
			this.fixture.call("/book/" + i);
		}
		Truth.assertThat(this.fixture.sent.stream().map((each) -> each.to.id()).toList())
			.containsExactly(new EndpointId("a"), new EndpointId("b"), new EndpointId("c"));
	}

	private static void fail(SentRequest sent, String failure) {
		switch (failure) {
			case "not sent" -> sent.listener.failed(false, "connect");
			case "refused" -> sent.respond(503, true, "");
			case "broken" -> sent.listener.failed(true, "reset");
			case "500" -> sent.respond(500, false, "bad");
			default -> {
				sent.listener.head(RelayFixture.head(200, false, false, false));
				sent.listener.complete();
			}
		}
	}

	/**
	 * Guards against treating an endpoint that asks for back-off as unreachable.
	 */
	@Test
	void refusalWithBackOffDoesNotCountAsUnreachable() {
		this.fixture.call("/log/x");
		Backend endpoint = this.fixture.last().to;
		this.fixture.last().refuseWithBackoff(Duration.ofMillis(50));
		this.fixture.scheduler.advance(Duration.ofMillis(51));
		Truth.assertThat(this.fixture.health.avoid(endpoint.start())).isFalse();
	}

}
