package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.List;

import com.google.common.collect.Range;
import com.google.common.truth.Truth;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.endpoint.CancelResult;
import org.bramleyscale.internal.endpoint.Reservations.GroupMember;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.request.forward.ForwardFailed;
import org.bramleyscale.internal.request.forward.RequestMessages;
import org.bramleyscale.internal.time.Cancellable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RequestLifecycleTests {

	private static final Duration GRACE_PERIOD = Duration.ofSeconds(10);

	private final RequestFixture fixture = new RequestFixture();

	private final DefaultRequestService service = this.fixture.daemon("entry-1");

	private final DefaultRequestService other = this.fixture.daemon("entry-2");

	private final RecordingSink sink = new RecordingSink();

	/**
	 * Guards against engines that generate answers without a reader. A caller
	 * disconnects, from this or another daemon, and doesn't reconnect; only its
	 * connection ends.
	 */
	@ParameterizedTest
	@CsvSource({ "entry-1, true, false, 1", "entry-2, true, false, 1", "entry-1, true, true, 0",
			"entry-2, true, true, 0", "entry-1, false, false, 0" })
	void unreadAnswerIsCancelledAfterTheGracePeriod(String at, boolean repeatable, boolean reconnects, int cancels) {
		DefaultRequestService entry = ("entry-1".equals(at)) ? this.service : this.other;
		Cancellable caller = entry.generate(RequestFixture.quote(RequestFixture.id("entry-1", "q"), repeatable),
				this.sink);
		this.fixture.run();
		this.fixture.engines.last().listener.accepted();
		caller.cancel();
		this.fixture.advance(GRACE_PERIOD.dividedBy(2));
		if (reconnects) {
			this.other.resume(RequestFixture.id("entry-1", "q"), RequestFixture.ACCOUNT, 0, new RecordingSink());
		}
		this.fixture.advance(GRACE_PERIOD.dividedBy(2).plusMillis(1));
		Truth.assertThat(this.fixture.engines.cancels).hasSize(cancels);
		Truth.assertThat(this.sink.ends).isEqualTo(0);
	}

	/**
	 * Guards against engine memory that stays in use after its request ended. The cancel
	 * or its result is lost, and the cancel is not sent again.
	 */
	@ParameterizedTest
	@CsvSource({ "ANSWER", "BOOT" })
	void cancelIsRepeatedUntilTheEngineConfirms(String confirmation) {
		this.service.generate(RequestFixture.quote(RequestFixture.id("entry-1", "q"), true), this.sink);
		this.fixture.run();
		this.service.cancel(RequestFixture.id("entry-1", "q"), RequestFixture.OTHER_ACCOUNT);
		Truth.assertThat(this.sink.end()).isEqualTo("open");
		this.other.cancel(RequestFixture.id("entry-1", "q"), RequestFixture.ACCOUNT);
		this.fixture.run();
		Truth.assertThat(this.sink.end()).isEqualTo("CANCELLED UNKNOWN");
		this.fixture.engines.cancelResults.get(0).completeExceptionally(new IllegalStateException("lost"));
		this.fixture.advance(Duration.ofSeconds(3));
		Truth.assertThat(this.fixture.engines.cancels).hasSize(3);
		if ("ANSWER".equals(confirmation)) {
			this.fixture.engines.cancelResults.get(2).complete(CancelResult.STOPPED);
		}
		else {
			this.fixture.engines.boot = 2;
			this.fixture.engines.cancelResults.get(2).completeExceptionally(new IllegalStateException("lost"));
		}
		this.fixture.advance(Duration.ofMinutes(5));
		Truth.assertThat(this.fixture.engines.cancels).hasSize(3);
		Truth.assertThat(this.fixture.count("entry-1", "cancelsConfirmed")).isEqualTo(1);
	}

	/**
	 * Guards against the outcome "unknown" for a request that never arrived. A reused
	 * connection turns out to be closed while a not-repeatable generation is sent. The
	 * entry can't determine whether it arrived, but the engine can.
	 */
	@ParameterizedTest
	@CsvSource({ "NEVER_STARTED, ENDPOINT_FAILED NO", "STOPPED, ENDPOINT_FAILED YES", ", ENDPOINT_FAILED UNKNOWN" })
	void engineIsQueriedWhetherALostAttemptStarted(CancelResult answer, String end) {
		this.service.generate(RequestFixture.quote(null, false), this.sink);
		this.fixture.run();
		this.fixture.engines.last().listener.failed(FakeEngines.failure(Ran.UNKNOWN, Step.START));
		this.fixture.run();
		this.fixture.engines.last().listener.failed(
				new ServingException(ErrorCode.UNKNOWN_REQUEST, Ran.UNKNOWN, Step.RESUME, "engine", "unknown attempt"));
		if (answer != null) {
			this.fixture.engines.cancelResults.get(0).complete(answer);
		}
		else {
			this.fixture.advance(Duration.ofSeconds(1));
		}
		Truth.assertThat(this.sink.end()).isEqualTo(end);
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(1);
		Truth.assertThat(this.service.unfinished()).isEqualTo(0);
	}

	@Test
	void requestCancelledDuringTheEngineQueryEndsOnce() {
		this.service.generate(RequestFixture.quote(null, false), this.sink);
		this.fixture.run();
		this.fixture.engines.last().listener.failed(FakeEngines.failure(Ran.UNKNOWN, Step.START));
		this.fixture.run();
		this.fixture.engines.last().listener.failed(
				new ServingException(ErrorCode.UNKNOWN_REQUEST, Ran.UNKNOWN, Step.RESUME, "engine", "unknown attempt"));
		this.service.cancel(this.sink.id(), RequestFixture.ACCOUNT);
		Truth.assertThat(this.sink.end()).isEqualTo("CANCELLED UNKNOWN");
		this.fixture.engines.cancelResults.get(0).complete(CancelResult.NEVER_STARTED);
		this.fixture.advance(Duration.ofSeconds(5));
		Truth.assertThat(this.sink.violations).isEmpty();
		Truth.assertThat(this.fixture.pool.observations).hasSize(1);
		Truth.assertThat(this.fixture.engines.cancels).hasSize(1);
	}

	/**
	 * Guards against a long prompt that waits until its deadline while engines are idle.
	 * The grants of its entry are too small for it, and owners only grant what is
	 * requested.
	 */
	@Test
	void capacityIsRequestedRepeatedlyForWaitingRequests() {
		this.fixture.promptTokens = 90_000;
		this.fixture.pool.slots = 0;
		this.service.generate(RequestFixture.quote(null, true), this.sink);
		this.fixture.run();
		Truth.assertThat(this.fixture.pool.capacityRequests).containsExactly(90_100L);
		this.fixture.pool.slots(0);
		this.fixture.run();
		Truth.assertThat(this.fixture.pool.capacityRequests).hasSize(1);
		this.fixture.advance(Duration.ofSeconds(10));
		Truth.assertThat(this.fixture.pool.capacityRequests.size()).isIn(Range.closed(10, 12));
	}

	@Test
	void overdueFirstTokenIsReportedBeforeItArrives() {
		this.service.generate(RequestFixture.quote(null, true), this.sink);
		this.fixture.advance(Duration.ofMillis(1100));
		Truth.assertThat(this.fixture.pool.overdue).containsExactly(Duration.ofMillis(200), Duration.ofMillis(700));
		this.fixture.engines.last().frames(RequestFixture.ANSWER, 0, 2);
		this.fixture.engines.last().complete(2);
		this.fixture.advance(Duration.ofSeconds(3));
		Truth.assertThat(this.fixture.pool.overdue).hasSize(2);
		Truth.assertThat(this.fixture.pool.observations).hasSize(1);
	}

	@Test
	void leavingDaemonCompletesItsRequestsAndServesTheirIds() {
		this.service.generate(RequestFixture.quote(RequestFixture.id("entry-1", "q"), true), this.sink);
		this.fixture.run();
		this.service.leave();
		RecordingSink fresh = new RecordingSink();
		this.service.generate(RequestFixture.quote(null, true), fresh);
		Truth.assertThat(fresh.end()).isEqualTo("LEAVING NO");
		Truth.assertThat(fresh.failure.retryAfter()).isPresent();
		RecordingSink attached = new RecordingSink();
		this.other.generate(RequestFixture.quote(RequestFixture.id("entry-1", "q"), true), attached);
		this.fixture.run();
		Truth.assertThat(this.service.unfinished()).isEqualTo(1);
		this.fixture.engines.last().frames(RequestFixture.ANSWER, 0, RequestFixture.ANSWER.length());
		this.fixture.engines.last().complete(RequestFixture.ANSWER.length());
		this.fixture.run();
		Truth.assertThat(this.sink.end() + " " + attached.end()).isEqualTo("completed completed");
		Truth.assertThat(this.service.unfinished() + this.other.unfinished()).isEqualTo(0);
	}

	@Test
	void daemonWithoutFreshConfigurationAdmitsNothing() {
		this.fixture.fresh = false;
		this.service.generate(RequestFixture.quote(null, true), this.sink);
		Truth.assertThat(this.sink.end()).isEqualTo("NOT_READY NO");
	}

	@Test
	void longPromptRunsOnItsReservedGroup() {
		this.fixture.promptTokens = 200_000;
		this.service.generate(RequestFixture.quote(null, true), this.sink);
		this.fixture.run();
		Truth.assertThat(this.fixture.engines.connections).isEmpty();
		RequestFixture.GroupRequest groupRequest = this.fixture.groups.get(0);
		Truth.assertThat(groupRequest.kvTokens()).isEqualTo(200_100);
		groupRequest.reserved()
			.accept(List.of(
					new GroupMember(RequestFixture.endpoint("engine-2", RequestFixture.ASSISTANT, null), "h2", 100_100),
					new GroupMember(RequestFixture.endpoint("engine-1", RequestFixture.ASSISTANT, null), "h1",
							100_000)));
		this.fixture.run();
		FakeEngines.Connection engine = this.fixture.engines.last();
		Truth.assertThat(engine.endpoint.name().value()).isEqualTo("engine-2");
		Truth.assertThat(engine.request.holds()).containsExactly("engine-2=h2", "engine-1=h1").inOrder();
		engine.frames(RequestFixture.ANSWER, 0, 3);
		engine.complete(3);
		Truth.assertThat(this.fixture.groups).isEmpty();
		Truth.assertThat(this.fixture.pool.used).isEqualTo(0);
	}

	@Test
	void promptLargerThanAllEnginesIsRefused() {
		this.fixture.promptTokens = 400_000;
		this.service.generate(RequestFixture.quote(null, true), this.sink);
		Truth.assertThat(this.sink.end()).isEqualTo("TOO_LARGE NO");
	}

	@Test
	void waitingRequestsStartInOrderWhenCapacityIsAvailable() {
		this.fixture.pool.slots = 1;
		for (int request = 0; request < 300; request++) {
			this.service.generate(RequestFixture.quote(null, true), new RecordingSink());
		}
		this.fixture.run();
		Truth.assertThat(this.fixture.engines.connections).hasSize(1);
		this.fixture.engines.last().frames(RequestFixture.ANSWER, 0, 2);
		this.fixture.engines.last().complete(2);
		this.fixture.run();
		Truth.assertThat(this.fixture.engines.last().id.sequence()).isEqualTo("_1");
		this.fixture.pool.slots(1000);
		this.fixture.run();
		Truth.assertThat(this.fixture.engines.connections).hasSize(300);
	}

	@Test
	void endedRecordsAreBounded() {
		DefaultRequestService small = this.fixture.daemon("entry-3", 1,
				RequestSettings.builder().recordCount(5).build());
		for (int request = 0; request < 20; request++) {
			small.generate(RequestFixture.quote(null, true), new RecordingSink());
			this.fixture.run();
			this.fixture.engines.last().frames(RequestFixture.ANSWER, 0, 2);
			this.fixture.engines.last().complete(2);
		}
		RequestDump.Dump dump = (RequestDump.Dump) small.stateDump().dump();
		Truth.assertThat(dump.kept()).isEqualTo(5);
		Truth.assertThat(dump.unfinished()).isEqualTo(0);
		this.fixture.advance(Duration.ofMinutes(5));
		Truth.assertThat(((RequestDump.Dump) small.stateDump().dump()).keptBytes()).isEqualTo(0);
	}

	@Test
	void messageCodesAreStable() {
		MessageCatalog.Builder catalog = MessageCatalog.builder();
		RequestMessages.register(catalog);
		Truth.assertThat(catalog.build().code(ForwardFailed.class)).isEqualTo(62);
	}

}
