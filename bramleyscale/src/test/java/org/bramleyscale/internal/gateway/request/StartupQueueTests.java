package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link StartupQueue}.
 */
class StartupQueueTests {

	private static final String FAILS = "fails";

	private static final String OVERFLOWS = "overflows";

	private final ManualScheduler scheduler = new ManualScheduler();

	private final List<String> handled = new ArrayList<>();

	private final List<String> disconnected = new ArrayList<>();

	private final List<Duration> left = new ArrayList<>();

	private boolean ready;

	private boolean readinessFails;

	private final StartupQueue queue = new StartupQueue(this.scheduler, this::isReady, this::handle);

	@ParameterizedTest
	@CsvSource({ "20, 100, 110", "20, 495, 500", "400, 450, 460", "20, 10000, 500" })
	void requestsBeforeReadinessAreHeldAndNotRefused(long arrivedAt, long readyAt, long handledBy) {
		// Guards against refusing requests that could be served a moment later: after a
		// loss of all power a daemon listens, a request arrives, and 0.1 s later the
		// daemon knows the endpoints. A refused caller retries half a second later, which
		// is its last try.
		this.scheduler.schedule(Duration.ofMillis(readyAt), () -> this.ready = true);
		this.scheduler.advance(Duration.ofMillis(arrivedAt));
		this.queue.handle(request("first"), null);
		this.queue.handle(request("second"), null);
		this.scheduler.advance(Duration.ofMillis(Math.min(readyAt, 500) - arrivedAt - 1));
		Truth.assertThat(this.handled).isEmpty();
		this.scheduler.advance(Duration.ofMillis(handledBy - Math.min(readyAt, 500) + 2));
		Truth.assertThat(this.handled).containsExactly("first", "second").inOrder();
		this.left.forEach((left) -> Truth.assertThat(left)
			.isAtMost(Duration.ofMillis(1_000 + arrivedAt - Math.min(readyAt, 500))));
	}

	@Test
	void requestsAfterTheMaximumHoldAreNotHeld() {
		this.scheduler.advance(StartupQueue.MAX_HOLD);
		this.queue.handle(request("late"), null);
		Truth.assertThat(this.handled).containsExactly("late");
	}

	@Test
	void heldRequestOfADisconnectedCallerIsDropped() {
		this.queue.handle(request("leaves"), null).callerDisconnected();
		HandledRequest stays = this.queue.handle(request("stays"), null);
		this.ready = true;
		this.scheduler.advance(Duration.ofMillis(20));
		Truth.assertThat(this.handled).containsExactly("stays");
		stays.callerDisconnected();
		Truth.assertThat(this.disconnected).containsExactly("stays");
	}

	/** Guards against a held request that gets no answer when its daemon exits. */
	@Test
	void heldRequestIsRefusedWhenTheDaemonExits() {
		RecordingCaller caller = new RecordingCaller();
		this.queue.handle(request("held"), caller).daemonExits();
		this.ready = true;
		this.scheduler.advance(Duration.ofMillis(20));
		Truth.assertThat(caller.received.toString()).isEqualTo("own 503");
		Truth.assertThat(this.handled).isEmpty();
	}

	/** Guards against requests that stay held behind one that fails. */
	@Test
	void aFailureEndsItsOwnRequestOnly() {
		RecordingCaller caller = new RecordingCaller();
		this.queue.handle(request(FAILS), caller);
		this.queue.handle(request("second"), null);
		this.ready = true;
		this.scheduler.advance(Duration.ofMillis(20));
		Truth.assertThat(caller.ended()).isTrue();
		Truth.assertThat(this.handled).containsExactly("second");
	}

	/** Guards against a daemon that holds each request for good after one error. */
	@ParameterizedTest
	@ValueSource(strings = { OVERFLOWS, "readiness" })
	void anErrorDoesNotKeepOtherRequestsHeld(String failing) {
		RecordingCaller caller = new RecordingCaller();
		this.queue.handle(request(failing), caller);
		this.queue.handle(request("second"), null);
		this.readinessFails = failing.equals("readiness");
		this.ready = true;
		this.scheduler.advance(Duration.ofMillis(20));
		this.scheduler.advance(StartupQueue.MAX_HOLD);
		this.queue.handle(request("later"), null);
		this.scheduler.advance(Duration.ofMillis(20));
		Truth.assertThat(this.handled).containsAtLeast("second", "later").inOrder();
	}

	private boolean isReady() {
		if (this.readinessFails) {
			throw new IllegalStateException("the test wants it");
		}
		return this.ready;
	}

	private static CallerRequest request(String id) {
		return new CallerRequest(id, "POST", "/quotes/1", "hire.example", List.of(), new byte[0], Optional.empty(),
				Optional.of(Duration.ofSeconds(1)), 0, 0, Optional.empty(), List.of());
	}

	private HandledRequest handle(CallerRequest request, CallerReply reply) {
		if (request.id().equals(FAILS)) {
			throw new IllegalStateException("the test wants it");
		}
		if (request.id().equals(OVERFLOWS)) {
			throw new StackOverflowError("the test wants it");
		}
		this.handled.add(request.id());
		request.timeLeft().ifPresent(this.left::add);
		return new RecordingRequest(request.id());
	}

	/**
	 * Records that its caller has disconnected.
	 */
	private final class RecordingRequest implements HandledRequest {

		private final String id;

		private RecordingRequest(String id) {
			this.id = id;
		}

		@Override
		public void callerDisconnected() {
			StartupQueueTests.this.disconnected.add(this.id);
		}

		@Override
		public void daemonStops(Duration untilExit) {
			// Only disconnects are of interest.
		}

		@Override
		public void daemonExits() {
			// Only disconnects are of interest.
		}

	}

}
