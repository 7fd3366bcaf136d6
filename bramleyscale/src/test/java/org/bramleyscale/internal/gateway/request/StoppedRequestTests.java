package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.hold.MemoryHold;
import org.bramleyscale.internal.gateway.placement.Placement;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests of {@link RelayedRequest} at a daemon that stops.
 */
class StoppedRequestTests {

	private static final Duration LIFETIME = Duration.ofSeconds(7);

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(100);

	private final RelayFixture fixture = new RelayFixture();

	private Duration stopped = Duration.ZERO;

	/** Guards against a request that waits until its daemon exits and gets no answer. */
	@ParameterizedTest
	@EnumSource
	void waitingRequestIsRefusedInTimeForItsCallerToGoElsewhere(Place place) {
		RecordingCaller caller = waitAt(place, Duration.ofSeconds(10));
		stop(caller, 4_900);
		Truth.assertThat(caller.received.toString()).isEmpty();
		stop(caller, 300);
		Truth.assertThat(caller.received.toString()).isEqualTo("own 503");
		Truth.assertThat(caller.retryAfter).isEqualTo(Duration.ofMillis(10));
		this.fixture.scheduler.advance(Duration.ofSeconds(10));
		Truth.assertThat(this.fixture.sent).isEmpty();
		Truth.assertThat(this.fixture.endedRequests()).isEqualTo(1);
	}

	@ParameterizedTest
	@EnumSource
	void waitingRequestWhoseCallerLeavesBeforeTheDaemonIsNotRefused(Place place) {
		RecordingCaller caller = waitAt(place, Duration.ofSeconds(6));
		stop(caller, 5_000);
		Truth.assertThat(caller.received.toString()).isEmpty();
	}

	/** Guards against holding back a request that can't be answered any more. */
	@Test
	void waitingRequestIsRefusedOnceItsAnswerWouldTakeTooLong() {
		this.fixture.offerEngines(2, 1);
		waitForever();
		RecordingCaller caller = this.fixture.call("/other/1", Duration.ofSeconds(10), 0, 10_000);
		stop(caller, 100);
		Truth.assertThat(caller.received.toString()).isEqualTo("own 503");
	}

	@ParameterizedTest
	@CsvSource({ "/book/1, 0, own 502", "/stream/1, 0, own 502", "/stream/1, 2, begin s200 1 2 abort" })
	void requestAtAnEndpointRunsUntilTheDaemonExits(String path, int events, String got) {
		RecordingCaller caller = this.fixture.call(path, Duration.ofSeconds(10));
		if (events > 0) {
			this.fixture.last().sendEvents(1, events);
		}
		String before = caller.received.toString();
		caller.request.daemonStops(Duration.ofMillis(1));
		Truth.assertThat(caller.received.toString()).isEqualTo(before);
		caller.request.daemonExits();
		Truth.assertThat(caller.received.toString()).isEqualTo(got);
		Truth.assertThat(this.fixture.last().cancelled).isTrue();
	}

	/** Guards against calling a request not run that an endpoint may have run. */
	@ParameterizedTest
	@CsvSource({ "true, own 502", "false, own 503" })
	void requestBetweenTwoAttemptsIsCalledNotRunOnlyIfItDidNotRun(boolean mayHaveRun, String got) {
		RecordingCaller caller = this.fixture.call("/log/1", Duration.ofSeconds(10));
		waitForever();
		this.fixture.last().listener.failed(mayHaveRun, "reset");
		stop(caller, 6_000);
		Truth.assertThat(caller.received.toString()).isEqualTo(got);
	}

	private RecordingCaller waitAt(Place place, Duration left) {
		switch (place) {
			case QUEUE -> {
				this.fixture.offerEngines(2, 1);
				waitForever();
			}
			case DEFERRED -> waitForever();
			case MEMORY -> {
				Backend holder = this.fixture.engine("b");
				this.fixture.scriptedPlacements
					.add(Placement.at(this.fixture.engine("a"), List.of(holder), 1, 1, "long")
						.holding(List.of(new MemoryHold(holder, 100))));
			}
			default -> throw new IllegalArgumentException(place.toString());
		}
		return this.fixture.call((place == Place.QUEUE) ? "/other/1" : "/log/1", left, 170_000, 0);
	}

	private void waitForever() {
		for (int i = 0; i < 1_000; i++) {
			this.fixture.scriptedPlacements.add(Placement.waiting(1, "all slots taken"));
		}
	}

	/**
	 * Lets the stop, which begins with the first call, go on.
	 * @param caller the caller of the request
	 * @param millis for how long, in ms
	 */
	private void stop(RecordingCaller caller, long millis) {
		long end = this.stopped.toMillis() + millis;
		while (this.stopped.toMillis() < end) {
			caller.request.daemonStops(LIFETIME.minus(this.stopped));
			this.fixture.scheduler.advance(CHECK_INTERVAL);
			this.stopped = this.stopped.plus(CHECK_INTERVAL);
		}
	}

	/**
	 * Where a request waits that no endpoint has.
	 */
	enum Place {

		QUEUE, DEFERRED, MEMORY

	}

}
