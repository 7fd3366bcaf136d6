package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.Ran;
import org.bramleyscale.Step;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.request.forward.ForwardAccepted;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Every admitted request ends within its time, whatever else happens.
 */
class DeadlineTests {

	private static final Duration MARGIN = Duration.ofMillis(1);

	private final RequestFixture fixture = new RequestFixture();

	private final DefaultRequestService home = this.fixture.daemon("entry-1");

	private final DefaultRequestService other = this.fixture.daemon("entry-2");

	private final RecordingSink sink = new RecordingSink();

	/** What goes wrong with endpoints. */
	enum EndpointFault {

		NO_ROOM, NO_GROUP, SILENT, SILENT_AFTER_ACCEPTING, SILENT_IN_STREAM, FAILS, FAILS_IN_STREAM, GONE

	}

	/** What goes wrong between the caller and the request's home. */
	enum PathFault {

		NONE, FORWARDED, HOME_SILENT, HOME_SILENT_LATER, HOME_CUT_OFF

	}

	static Stream<Arguments> pairs() {
		List<Arguments> pairs = new ArrayList<>();
		for (EndpointFault endpoint : EndpointFault.values()) {
			for (PathFault path : PathFault.values()) {
				pairs.add(Arguments.of(endpoint, path, true));
				pairs.add(Arguments.of(endpoint, path, false));
			}
		}
		return pairs.stream();
	}

	/**
	 * Symptom: a caller hears nothing after its time, memory stays in use. Sequence: any
	 * pair of faults at the endpoint and between daemons. Cause: something waited for
	 * never comes, and only the waiting would have ended the request.
	 */
	@ParameterizedTest
	@MethodSource("pairs")
	void endsWithinItsTimeUnderPairsOfFaults(EndpointFault endpoint, PathFault path, boolean repeatable) {
		prepare(endpoint, path);
		DefaultRequestService entry = (path != PathFault.NONE) ? this.other : this.home;
		entry.generate(RequestFixture.quote(RequestFixture.id("entry-1", "q"), repeatable), this.sink);
		this.fixture.run();
		play(endpoint);
		interrupt(path);
		Duration step = RequestFixture.TIME.dividedBy(60);
		for (int passed = 0; passed < 60; passed++) {
			this.fixture.advance(step);
			play(endpoint);
		}
		this.fixture.advance(MARGIN);
		Truth.assertThat(this.sink.ends).isEqualTo(1);
		Truth.assertThat(this.sink.completed).isFalse();
		Truth.assertThat(this.sink.broken).isEmpty();
		boolean sent = this.fixture.engines.worked() > 0;
		Truth.assertThat(sent && this.sink.failure.ran() == Ran.NO && endpoint != EndpointFault.FAILS).isFalse();
		Truth.assertThat(repeatable || this.fixture.engines.worked() <= 1).isTrue();
		this.fixture.advance(RequestFixture.TIME);
		Truth.assertThat(this.home.unfinished() + this.other.unfinished()).isEqualTo(0);
		Truth.assertThat(this.fixture.pool.used).isEqualTo(0);
		Truth.assertThat(this.fixture.groups).isEmpty();
		if (sent && endpoint != EndpointFault.FAILS) {
			Truth.assertThat(Set.copyOf(this.fixture.engines.cancels)).hasSize((int) this.fixture.engines.worked());
		}
	}

	@Test
	void entryAnswersAtTheDeadlineOfAShortRequestWhoseHomeIsSilent() {
		this.fixture.peers.lost = (message) -> true;
		GenerateRequest quote = RequestFixture.quote(RequestFixture.id("entry-1", "q"), true);
		this.other.generate(new GenerateRequest(quote.id(), quote.account(), quote.service(), quote.model(),
				quote.prompt(), 10, true, Duration.ofSeconds(1)), this.sink);
		this.fixture.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.sink.end()).isEqualTo("DEADLINE_EXCEEDED UNKNOWN");
		Truth.assertThat(this.other.unfinished()).isEqualTo(0);
	}

	/**
	 * Symptom: a caller learns only at its deadline what was decided long before.
	 * Sequence: the last attempt fails. Cause: the failure is kept until the time is up.
	 */
	@ParameterizedTest
	@CsvSource({ "true, CONNECT, NO, 3, ENDPOINT_FAILED NO", "true, START, NO, 3, ENDPOINT_FAILED NO",
			"false, CONNECT, NO, 3, ENDPOINT_FAILED NO", "false, START, NO, 1, ENDPOINT_FAILED NO" })
	void givesUpAtOnce(boolean repeatable, Step step, Ran ran, int attempts, String end) {
		this.home.generate(RequestFixture.quote(null, repeatable), this.sink);
		this.fixture.run();
		while (this.sink.ends == 0) {
			this.fixture.engines.last().listener.failed(FakeEngines.failure(ran, step));
			this.fixture.run();
		}
		Truth.assertThat(this.sink.end()).isEqualTo(end);
		Truth.assertThat(this.sink.failure.retryAfter()).isPresent();
		Truth.assertThat(this.fixture.engines.worked()).isEqualTo(attempts);
	}

	@ParameterizedTest
	@CsvSource({ "true, NO, 2, ENDPOINT_FAILED NO", "true, UNKNOWN, 2, ENDPOINT_FAILED UNKNOWN",
			"false, UNKNOWN, 1, ENDPOINT_FAILED UNKNOWN", "false, NO, 1, ENDPOINT_FAILED NO" })
	void failedCallIsRepeatedOnlyIfItMayBe(boolean repeatable, Ran ran, int calls, String end) {
		this.home.call(RequestFixture.booking(null, repeatable), this.sink);
		this.fixture.run();
		for (int call = 0; call < calls; call++) {
			this.fixture.engines.calls.get(call).reply().completeExceptionally(FakeEngines.failure(ran, Step.START));
			this.fixture.run();
		}
		Truth.assertThat(this.fixture.engines.worked()).isEqualTo(calls);
		Truth.assertThat(this.sink.end()).isEqualTo((calls > 1) ? end.replace("ENDPOINT_FAILED", "NO_ENDPOINT") : end);
	}

	private void prepare(EndpointFault endpoint, PathFault path) {
		if (endpoint == EndpointFault.NO_ROOM) {
			this.fixture.pool.slots = 0;
		}
		if (endpoint == EndpointFault.NO_GROUP) {
			this.fixture.promptTokens = 200_000;
		}
		if (path == PathFault.HOME_SILENT) {
			this.fixture.peers.lost = (message) -> message instanceof ForwardAccepted;
		}
	}

	private void interrupt(PathFault path) {
		if (path == PathFault.HOME_SILENT_LATER) {
			this.fixture.peers.lost = (message) -> true;
		}
		if (path == PathFault.HOME_CUT_OFF) {
			this.fixture.peers.unreachable.add(new VmId("entry-1"));
		}
	}

	private void play(EndpointFault fault) {
		for (FakeEngines.Connection engine : List.copyOf(this.fixture.engines.connections)) {
			if (engine.request == null || engine.closed) {
				continue;
			}
			int from = (int) engine.request.firstOffset();
			switch (fault) {
				case SILENT_AFTER_ACCEPTING -> engine.listener.accepted();
				case SILENT_IN_STREAM -> engine.frames(RequestFixture.ANSWER, from, from + 1);
				case FAILS -> fail(engine, Ran.NO);
				case FAILS_IN_STREAM -> {
					engine.frames(RequestFixture.ANSWER, from, from + 1);
					fail(engine, Ran.YES);
				}
				case GONE -> fail(engine, Ran.UNKNOWN);
				default -> {
				}
			}
		}
	}

	private void fail(FakeEngines.Connection engine, Ran ran) {
		engine.closed = true;
		engine.listener.failed(FakeEngines.failure(ran, Step.START));
	}

}
