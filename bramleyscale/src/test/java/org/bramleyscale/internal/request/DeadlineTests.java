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
 * Checks that every admitted request ends by its deadline under any pair of faults.
 */
class DeadlineTests {

	private static final Duration MARGIN = Duration.ofMillis(1);

	private final RequestFixture fixture = new RequestFixture();

	private final DefaultRequestService home = this.fixture.daemon("entry-1");

	private final DefaultRequestService other = this.fixture.daemon("entry-2");

	private final RecordingSink sink = new RecordingSink();

	/** Faults of endpoints. */
	enum EndpointFault {

		NO_CAPACITY, NO_GROUP, UNRESPONSIVE, UNRESPONSIVE_AFTER_ACCEPTING, UNRESPONSIVE_IN_STREAM, FAILS,
		FAILS_IN_STREAM, CONNECTION_LOST

	}

	/** Faults between the caller and the home of its request. */
	enum PathFault {

		NONE, FORWARDED, HOME_UNRESPONSIVE, HOME_UNRESPONSIVE_LATER, HOME_UNREACHABLE

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
	 * Guards against a request that neither ends nor releases its memory after its
	 * deadline. With a fault at the endpoint and another between daemons, an awaited
	 * event never occurs, and nothing else ends the request.
	 */
	@ParameterizedTest
	@MethodSource("pairs")
	void endsByItsDeadlineUnderPairsOfFaults(EndpointFault endpoint, PathFault path, boolean repeatable) {
		prepare(endpoint, path);
		DefaultRequestService entry = (path != PathFault.NONE) ? this.other : this.home;
		entry.generate(RequestFixture.quote(RequestFixture.id("entry-1", "q"), repeatable), this.sink);
		this.fixture.run();
		injectEndpointFault(endpoint);
		injectPathFault(path);
		Duration step = RequestFixture.TIME_LIMIT.dividedBy(60);
		for (int passed = 0; passed < 60; passed++) {
			this.fixture.advance(step);
			injectEndpointFault(endpoint);
		}
		this.fixture.advance(MARGIN);
		Truth.assertThat(this.sink.ends).isEqualTo(1);
		Truth.assertThat(this.sink.completed).isFalse();
		Truth.assertThat(this.sink.violations).isEmpty();
		boolean sent = this.fixture.engines.sentWork() > 0;
		Truth.assertThat(sent && this.sink.failure.ran() == Ran.NO && endpoint != EndpointFault.FAILS).isFalse();
		Truth.assertThat(repeatable || this.fixture.engines.sentWork() <= 1).isTrue();
		this.fixture.advance(RequestFixture.TIME_LIMIT);
		Truth.assertThat(this.home.unfinished() + this.other.unfinished()).isEqualTo(0);
		Truth.assertThat(this.fixture.pool.used).isEqualTo(0);
		Truth.assertThat(this.fixture.groups).isEmpty();
		if (sent && endpoint != EndpointFault.FAILS) {
			Truth.assertThat(Set.copyOf(this.fixture.engines.cancels)).hasSize((int) this.fixture.engines.sentWork());
		}
	}

	@Test
	void entryFailsAShortRequestAtItsDeadlineIfTheHomeIsUnresponsive() {
		this.fixture.peers.lost = (message) -> true;
		GenerateRequest quote = RequestFixture.quote(RequestFixture.id("entry-1", "q"), true);
		this.other.generate(new GenerateRequest(quote.id(), quote.account(), quote.service(), quote.model(),
				quote.prompt(), 10, true, Duration.ofSeconds(1)), this.sink);
		this.fixture.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.sink.end()).isEqualTo("DEADLINE_EXCEEDED UNKNOWN");
		Truth.assertThat(this.other.unfinished()).isEqualTo(0);
	}

	/**
	 * Guards against a failure that is reported only at the deadline, although the last
	 * attempt failed long before.
	 */
	@ParameterizedTest
	@CsvSource({ "true, CONNECT, NO, 3, ENDPOINT_FAILED NO", "true, START, NO, 3, ENDPOINT_FAILED NO",
			"false, CONNECT, NO, 3, ENDPOINT_FAILED NO", "false, START, NO, 1, ENDPOINT_FAILED NO" })
	void failsImmediatelyAfterTheLastAttempt(boolean repeatable, Step step, Ran ran, int attempts, String end) {
		this.home.generate(RequestFixture.quote(null, repeatable), this.sink);
		this.fixture.run();
		while (this.sink.ends == 0) {
			this.fixture.engines.last().listener.failed(FakeEngines.failure(ran, step));
			this.fixture.run();
		}
		Truth.assertThat(this.sink.end()).isEqualTo(end);
		Truth.assertThat(this.sink.failure.retryAfter()).isPresent();
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(attempts);
	}

	@ParameterizedTest
	@CsvSource({ "true, NO, 2, ENDPOINT_FAILED NO", "true, UNKNOWN, 2, ENDPOINT_FAILED UNKNOWN",
			"false, UNKNOWN, 1, ENDPOINT_FAILED UNKNOWN", "false, NO, 1, ENDPOINT_FAILED NO" })
	void failedCallIsRetriedOnlyIfRepeatable(boolean repeatable, Ran ran, int calls, String end) {
		this.home.call(RequestFixture.booking(null, repeatable), this.sink);
		this.fixture.run();
		for (int call = 0; call < calls; call++) {
			this.fixture.engines.calls.get(call).reply().completeExceptionally(FakeEngines.failure(ran, Step.START));
			this.fixture.run();
		}
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(calls);
		Truth.assertThat(this.sink.end()).isEqualTo((calls > 1) ? end.replace("ENDPOINT_FAILED", "NO_ENDPOINT") : end);
	}

	private void prepare(EndpointFault endpoint, PathFault path) {
		if (endpoint == EndpointFault.NO_CAPACITY) {
			this.fixture.pool.slots = 0;
		}
		if (endpoint == EndpointFault.NO_GROUP) {
			this.fixture.promptTokens = 200_000;
		}
		if (path == PathFault.HOME_UNRESPONSIVE) {
			this.fixture.peers.lost = (message) -> message instanceof ForwardAccepted;
		}
	}

	private void injectPathFault(PathFault path) {
		if (path == PathFault.HOME_UNRESPONSIVE_LATER) {
			this.fixture.peers.lost = (message) -> true;
		}
		if (path == PathFault.HOME_UNREACHABLE) {
			this.fixture.peers.unreachable.add(new VmId("entry-1"));
		}
	}

	private void injectEndpointFault(EndpointFault fault) {
		for (FakeEngines.Connection engine : List.copyOf(this.fixture.engines.connections)) {
			if (engine.request == null || engine.closed) {
				continue;
			}
			int from = (int) engine.request.firstOffset();
			switch (fault) {
				case UNRESPONSIVE_AFTER_ACCEPTING -> engine.listener.accepted();
				case UNRESPONSIVE_IN_STREAM -> engine.frames(RequestFixture.ANSWER, from, from + 1);
				case FAILS -> fail(engine, Ran.NO);
				case FAILS_IN_STREAM -> {
					engine.frames(RequestFixture.ANSWER, from, from + 1);
					fail(engine, Ran.YES);
				}
				case CONNECTION_LOST -> fail(engine, Ran.UNKNOWN);
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
