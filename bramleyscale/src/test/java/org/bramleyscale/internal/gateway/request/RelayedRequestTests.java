package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.hold.MemoryHold;
import org.bramleyscale.internal.gateway.load.EndpointLoad;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link RelayedRequest} with endpoints that fail in each way.
 */
class RelayedRequestTests {

	private final RelayFixture fixture = new RelayFixture();

	@ParameterizedTest
	@ValueSource(strings = { "/book/1", "/log/1" })
	void passesAnAnswerOnUnchanged(String path) {
		RelayFixture.Caller caller = this.fixture.call(path);
		this.fixture.last().answer(201, false, "body");
		Truth.assertThat(caller.got.toString()).isEqualTo("201 body");
		Truth.assertThat(this.fixture.service.unfinished()).isEqualTo(0);
	}

	@ParameterizedTest
	@CsvSource({ "/book/1, not sent, 2, 200 ok", "/book/1, refused, 2, 200 ok", "/book/1, broken, 1, own 502",
			"/book/1, 500, 1, 500 bad", "/book/1, unsigned, 1, own 502", "/log/1, not sent, 2, 200 ok",
			"/log/1, refused, 2, 200 ok", "/log/1, broken, 2, 200 ok", "/log/1, 500, 2, 200 ok",
			"/log/1, unsigned, 2, 200 ok" })
	void sendsAgainOnlyWhatCannotRunTwice(String path, String failure, int sent, String got) {
		// Symptom: two lowloaders for one booking. Sequence: the endpoint runs a booking
		// and
		// its answer is lost, the daemon sends it to another one. Cause: a lost answer
		// looks
		// like a request that didn't arrive.
		RelayFixture.Caller caller = this.fixture.call(path);
		fail(this.fixture.last(), failure);
		if (sent == 2) {
			this.fixture.last().answer(200, false, "ok");
		}
		Truth.assertThat(this.fixture.sent).hasSize(sent);
		Truth.assertThat(caller.got.toString()).isEqualTo(got);
		if (sent == 2) {
			Truth.assertThat(this.fixture.sent.get(0).to).isNotEqualTo(this.fixture.sent.get(1).to);
		}
	}

	/**
	 * Guards against taking the next endpoint at an address for the one that ended there.
	 */
	@ParameterizedTest
	@CsvSource({ "421, true, 0", "503, true, 0", "200, false, 1", "500, false, 1" })
	void onlyAnEndpointsOwnAnswerShowsThatItLives(int status, boolean notRun, int signs) {
		this.fixture.call("/book/1");
		this.fixture.last().answer(status, notRun, "");
		Truth.assertThat(this.fixture.signs.living).hasSize(signs);
	}

	/**
	 * Guards against one trial that reaches several endpoints, each of which turns it
	 * away.
	 */
	@ParameterizedTest
	@CsvSource({ "refused, 1", "not sent, 2" })
	void aTrialGoesOnOnlyIfItReachedNobody(String failure, int sent) {
		this.fixture.signs.suspects = true;
		this.fixture.call("/book/1");
		fail(this.fixture.last(), failure);
		Truth.assertThat(this.fixture.sent).hasSize(sent);
	}

	@Test
	void saysNotRunOnlyIfEveryEndpointVouchesForIt() {
		RelayFixture.Caller caller = this.fixture.call("/book/1");
		for (int i = 0; i < 3; i++) {
			this.fixture.last().answer(503, true, "");
		}
		Truth.assertThat(caller.got.toString()).isEqualTo("own 503");
		Truth.assertThat(caller.retryAfter).isGreaterThan(Duration.ZERO);
	}

	@Test
	void neverSaysNotRunAfterAnAnswerWasLost() {
		// Symptom: a caller books again though the first booking ran. Sequence: the first
		// endpoint breaks off, the second refuses. Cause: only the last answer is looked
		// at.
		RelayFixture.Caller caller = this.fixture.call("/log/1");
		this.fixture.last().listener.failed(true, "reset");
		this.fixture.last().answer(503, true, "");
		while (caller.got.length() == 0) {
			this.fixture.last().answer(503, true, "");
		}
		Truth.assertThat(caller.got.toString()).isEqualTo("own 502");
	}

	@Test
	void aStreamGoesOnElsewhereAfterItsLastWholeEvent() {
		RelayFixture.Caller caller = this.fixture.call("/stream/1");
		this.fixture.last().events(1, 3);
		this.fixture.last().listener.data("id: 4\nda".getBytes());
		this.fixture.last().listener.failed(true, "reset");
		Truth.assertThat(this.fixture.last().request.lastEventId()).hasValue("3");
		this.fixture.last().events(4, 5);
		this.fixture.last().listener.complete();
		Truth.assertThat(caller.got.toString()).isEqualTo("begin s200 1 2 3 4 5 end");
	}

	@Test
	void eventsThatCameBeforeAreDropped() {
		RelayFixture.Caller caller = this.fixture.call("/stream/1");
		this.fixture.last().events(1, 3);
		this.fixture.last().listener.failed(true, "reset");
		this.fixture.last().events(2, 4);
		this.fixture.last().listener.complete();
		Truth.assertThat(caller.got.toString()).isEqualTo("begin s200 1 2 3 4 end");
	}

	@Test
	void aStreamThatCanNotGoOnIsBrokenOff() {
		RelayFixture.Caller caller = this.fixture.call("/stream/1");
		this.fixture.last().events(1, 2);
		this.fixture.last().listener.failed(true, "reset");
		this.fixture.last().events(3, 3);
		this.fixture.last().listener.failed(true, "reset");
		Truth.assertThat(caller.got.toString()).isEqualTo("begin s200 1 2 3 abort");
		Truth.assertThat(this.fixture.sent).hasSize(2);
	}

	@ParameterizedTest
	@CsvSource({ "0, 900", "2, 1000" })
	void aSilentStreamIsTakenElsewhereBeforeItsCallerLeaves(int events, long millis) {
		// Symptom: callers leave after two seconds though other engines are idle.
		// Sequence:
		// an engine takes a request and says nothing more. Cause: its connection stays
		// open.
		this.fixture.call("/stream/1");
		RelayFixture.Sent first = this.fixture.last();
		if (events > 0) {
			first.events(1, events);
		}
		this.fixture.scheduler.advance(Duration.ofMillis(millis + 1));
		Truth.assertThat(first.cancelled).isTrue();
		Truth.assertThat(this.fixture.sent).hasSize(2);
	}

	@ParameterizedTest
	@CsvSource({ "0, 900, 1, 3", "2, 1000, 1, 3", "0, 900, 0, 1", "2, 1000, 0, 1" })
	void aBusyEngineIsGivenMoreTimeTwice(int events, long limit, int helpers, int times) {
		// Symptom: long prompts that would have been answered in 8 s are read twice, and
		// end after 12 s without an answer. Sequence: twenty of them arrive within 3 s.
		// Cause: engines that still read others' prompts are taken for failed.
		// A prompt that no other engine helps to read is quickly read again.
		this.fixture.forced.add(Placement.at(this.fixture.engine("a"),
				(helpers > 0) ? List.of(this.fixture.engine("b")) : List.of(), 0, 0, "split"));
		this.fixture.call("/stream/1");
		RelayFixture.Sent sent = this.fixture.last();
		this.fixture.loads.begin(sent.to.start(), 60_000, 0, true, EndpointLoad.ANY_PAUSE);
		if (events > 0) {
			sent.events(1, events);
		}
		this.fixture.scheduler.advance(Duration.ofMillis(times * limit - 1));
		Truth.assertThat(sent.cancelled).isFalse();
		this.fixture.scheduler.advance(Duration.ofMillis(2));
		Truth.assertThat(sent.cancelled).isTrue();
		Truth.assertThat(this.fixture.sent).hasSize(2);
	}

	@Test
	void aStreamThatGoesOnElsewhereHasTheRestOfItsTime() {
		// Symptom: half answers are broken off although engines are free. Sequence: an
		// engine dies 3 s after a request came. Cause: the caller's patience for a first
		// event is held against the rest of the stream.
		this.fixture.call("/stream/1");
		Truth.assertThat(this.fixture.placed.left()).isEqualTo(Duration.ofSeconds(2));
		for (int i = 1; i <= 6; i++) {
			this.fixture.last().events(i, i);
			this.fixture.scheduler.advance(Duration.ofMillis(500));
		}
		this.fixture.last().listener.failed(true, "reset");
		Truth.assertThat(this.fixture.placed.left()).isEqualTo(Duration.ofSeconds(7));
	}

	@Test
	void aRequestThatIsKeptIsPlacedAgain() {
		for (int i = 0; i < 4; i++) {
			this.fixture.forced.add(Placement.later(100, "lane reads"));
		}
		this.fixture.call("/stream/1");
		this.fixture.scheduler.advance(Duration.ofMillis(99));
		Truth.assertThat(this.fixture.sent).isEmpty();
		this.fixture.scheduler.advance(Duration.ofMillis(1));
		Truth.assertThat(this.fixture.sent).hasSize(1);
		Truth.assertThat(this.fixture.placed.waited()).isEqualTo(Duration.ofMillis(100));
	}

	@ParameterizedTest
	@CsvSource({ "true, ''", "false, own 503" })
	void aRequestThatIsKeptEndsWithItsCallerOrItsTime(boolean leaves, String got) {
		for (int i = 0; i < 500; i++) {
			this.fixture.forced.add(Placement.later(100, "lane reads"));
		}
		RelayFixture.Caller caller = this.fixture.call("/stream/1", Duration.ofSeconds(3));
		this.fixture.scheduler.advance(Duration.ofMillis(1_000));
		if (leaves) {
			caller.gone.run();
		}
		this.fixture.scheduler.advance(Duration.ofSeconds(4));
		Truth.assertThat(caller.got.toString()).isEqualTo(got);
		Truth.assertThat(this.fixture.sent).isEmpty();
		Truth.assertThat(this.fixture.service.unfinished()).isEqualTo(0);
	}

	@ParameterizedTest
	@CsvSource({ "/book/1, 1, own 504", "/stream/1, 2, own 504" })
	void endsWhenTheTimeIsOver(String path, int sent, String got) {
		RelayFixture.Caller caller = this.fixture.call(path, Duration.ofMillis(3_000));
		this.fixture.scheduler.advance(Duration.ofMillis(3_000));
		Truth.assertThat(this.fixture.sent).hasSize(sent);
		Truth.assertThat(caller.got.toString()).isEqualTo(got);
		Truth.assertThat(this.fixture.last().cancelled).isTrue();
		Truth.assertThat(this.fixture.service.unfinished()).isEqualTo(0);
	}

	@Test
	void dropsWhatRunsWhenTheCallerHasGone() {
		RelayFixture.Caller caller = this.fixture.call("/stream/1");
		this.fixture.last().events(1, 1);
		caller.gone.run();
		Truth.assertThat(this.fixture.last().cancelled).isTrue();
		Truth.assertThat(this.fixture.loads.load(this.fixture.last().to.start())).isEqualTo(EndpointLoad.IDLE);
		this.fixture.last().listener.failed(true, "late");
		Truth.assertThat(this.fixture.sent).hasSize(1);
	}

	@Test
	void theBudgetBoundsWhatIsSentAgain() {
		for (int i = 0; i < 6; i++) {
			this.fixture.call("/log/" + i);
			this.fixture.last().listener.failed(true, "reset");
		}
		// Six first sendings, and the three that six tenths of the constant allow.
		Truth.assertThat(this.fixture.sent).hasSize(6 + 3);
	}

	@ParameterizedTest
	@CsvSource({ "/other/1, key, own 404", "/log/1, wrong, own 401" })
	void refusesWhatTheCatalogDoesNotAllow(String path, String key, String got) {
		RelayFixture.Caller caller = new RelayFixture.Caller();
		this.fixture.service.take(request(path, key), caller);
		Truth.assertThat(caller.got.toString()).isEqualTo(got);
		Truth.assertThat(this.fixture.sent).isEmpty();
	}

	@ParameterizedTest
	@CsvSource({ "900, 1, ''", "1100, 0, own 503" })
	void aLeavingDaemonRefusesWhatWouldOutliveIt(long left, int sent, String got) {
		this.fixture.longestTaken = Duration.ofSeconds(1);
		RelayFixture.Caller caller = this.fixture.call("/book/1", Duration.ofMillis(left));
		Truth.assertThat(this.fixture.sent).hasSize(sent);
		Truth.assertThat(caller.got.toString()).isEqualTo(got);
	}

	@ParameterizedTest
	@CsvSource({ "/stream/1, 250", "/any-pause/1, 2147483647", "/book/1, 2147483647" })
	void tellsWhichPauseItsCallerBears(String path, int pause) {
		// Symptom: long prompts wait although engines are almost idle. Sequence: a stream
		// runs whose route says nothing of pauses. Cause: that counts as a pause of 0 ms,
		// for which no engine that writes it has room.
		this.fixture.call(path);
		Truth.assertThat(this.fixture.loads.load(this.fixture.last().to.start()).pauseMillis()).isEqualTo(pause);
	}

	@Test
	void endpointsShareTheLoad() {
		for (int i = 0; i < 3; i++) {
			this.fixture.call("/book/" + i);
		}
		Truth.assertThat(this.fixture.sent.stream().map((each) -> each.to.id()).toList())
			.containsExactly(new EndpointId("a"), new EndpointId("b"), new EndpointId("c"));
	}

	private static CallerRequest request(String path, String key) {
		return new CallerRequest("r1", "GET", path, "hire.example", List.of(), new byte[0], Optional.of(key),
				Optional.empty(), 0, 0, Optional.empty());
	}

	private static void fail(RelayFixture.Sent sent, String failure) {
		switch (failure) {
			case "not sent" -> sent.listener.failed(false, "connect");
			case "refused" -> sent.answer(503, true, "");
			case "broken" -> sent.listener.failed(true, "reset");
			case "500" -> sent.answer(500, false, "bad");
			default -> {
				sent.listener.head(RelayFixture.head(200, false, false, false));
				sent.listener.complete();
			}
		}
	}

	/**
	 * Guards against sending to an engine that closed while memory elsewhere was awaited.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void whatWaitedForMemoryGoesElsewhereIfItsEngineLeavesOrRestsMeanwhile(boolean leaves) {
		Backend target = this.fixture.engine("a");
		Backend holder = this.fixture.engine("b");
		this.fixture.forced
			.add(Placement.at(target, List.of(holder), 1, 1, "long").holding(List.of(new MemoryHold(holder, 100))));
		this.fixture.call("/stream/x");
		this.fixture.scheduler.advance(Duration.ofMillis(1));
		if (leaves) {
			this.fixture.backends.leaves(target.start());
		}
		else {
			this.fixture.health.asksForRest(target.start(), Duration.ofSeconds(3));
		}
		this.fixture.orders.answer(true);
		Truth.assertThat(this.fixture.sent).hasSize(1);
		Truth.assertThat(this.fixture.last().to.id()).isNotEqualTo(target.id());
	}

	/**
	 * Guards against taking an endpoint that asks for rest for one that can't be reached.
	 */
	@Test
	void aRefusalThatAsksForRestIsNoLostConnection() {
		this.fixture.call("/log/x");
		Backend endpoint = this.fixture.last().to;
		this.fixture.last().asksForRest(Duration.ofMillis(50));
		this.fixture.scheduler.advance(Duration.ofMillis(51));
		Truth.assertThat(this.fixture.health.avoid(endpoint.start())).isFalse();
	}

}
