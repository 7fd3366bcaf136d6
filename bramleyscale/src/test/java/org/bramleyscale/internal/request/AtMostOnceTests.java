package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.Incarnation;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.Step;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.request.forward.ForwardAccepted;
import org.bramleyscale.internal.request.forward.ForwardCall;
import org.bramleyscale.internal.request.forward.ForwardReply;
import org.bramleyscale.internal.request.forward.ForwardResume;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Checks that a not-repeatable request runs at most once, whichever messages are lost and
 * whichever daemon its caller retries at.
 */
class AtMostOnceTests {

	private static final RequestId BOOKING = RequestFixture.id("entry-1", "booking-7");

	private final RequestFixture fixture = new RequestFixture();

	private final DefaultRequestService home = this.fixture.daemon("entry-1");

	private final DefaultRequestService other = this.fixture.daemon("entry-2");

	private final RecordingSink first = new RecordingSink();

	private final RecordingSink retry = new RecordingSink();

	/**
	 * Guards against a booking that is made twice. A caller that received no answer in
	 * time, or lost it, retries at the same or another daemon, and the second daemon
	 * doesn't know that the first has already sent the request.
	 */
	@ParameterizedTest
	@CsvSource({ "entry-1, entry-1, false", "entry-1, entry-1, true", "entry-1, entry-2, false",
			"entry-1, entry-2, true", "entry-2, entry-1, false", "entry-2, entry-2, true" })
	void retryReceivesTheSameAnswer(String firstAt, String retryAt, boolean afterEnd) {
		service(firstAt).call(RequestFixture.booking(BOOKING, false), this.first);
		this.fixture.run();
		if (afterEnd) {
			reply();
		}
		service(retryAt).call(RequestFixture.booking(BOOKING, false), this.retry);
		this.fixture.run();
		if (!afterEnd) {
			reply();
		}
		this.fixture.run();
		Truth.assertThat(this.first.end()).isEqualTo("completed");
		Truth.assertThat(this.retry.end()).isEqualTo("completed");
		Truth.assertThat(this.retry.reply.status()).isEqualTo(201);
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(1);
	}

	static Stream<Arguments> lostMessages() {
		return Stream.of(Arguments.of("request", is(ForwardCall.class)),
				Arguments.of("acknowledgement", is(ForwardAccepted.class)),
				Arguments.of("reply", is(ForwardReply.class)),
				Arguments.of("resume", is(ForwardReply.class, ForwardResume.class)));
	}

	/**
	 * Guards against a caller that waits until its deadline for a booking that was made.
	 * A message between entry and home is lost with its connection, and neither side is
	 * notified of the loss.
	 */
	@ParameterizedTest(name = "{0}")
	@MethodSource("lostMessages")
	void oneLostMessageBetweenDaemonsDelaysTheAnswerOnly(String name, Predicate<PeerMessage> lost) {
		this.fixture.peers.lost = once(lost);
		this.other.call(RequestFixture.booking(BOOKING, false), this.first);
		this.fixture.advance(Duration.ofSeconds(3));
		reply();
		this.fixture.advance(Duration.ofSeconds(20));
		Truth.assertThat(this.first.end()).isEqualTo("completed");
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(1);
	}

	/**
	 * Guards against a wrong "not run", after which the caller books again under a new id
	 * and the booking is made twice. The forward reaches the home, but all replies are
	 * lost, and the missing acknowledgement is mistaken for a forward that did not
	 * arrive.
	 */
	@Test
	void unresponsiveHomeThatRunsTheRequestYieldsUnknown() {
		this.fixture.peers.lost = (message) -> !(message instanceof ForwardCall);
		this.other.call(RequestFixture.booking(BOOKING, false), this.first);
		this.fixture.advance(Duration.ofSeconds(9));
		Truth.assertThat(this.first.end()).isEqualTo("HOME_GONE UNKNOWN");
		Truth.assertThat(this.first.failure.retryAfter()).isPresent();
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(1);
		this.fixture.peers.lost = (message) -> false;
		this.other.call(RequestFixture.booking(BOOKING, false), this.retry);
		this.fixture.run();
		reply();
		this.fixture.run();
		Truth.assertThat(this.retry.end()).isEqualTo("completed");
	}

	/**
	 * Guards against a wrong "not run". The caller sent its first attempt to the home
	 * itself, and the entry of its retry has no connection to the home. That the entry
	 * sent nothing does not show that the first attempt did not run.
	 */
	@Test
	void unreachableHomeYieldsUnknownImmediately() {
		this.home.call(RequestFixture.booking(BOOKING, false), this.first);
		this.fixture.run();
		this.fixture.peers.unreachable.add(new VmId("entry-1"));
		this.other.call(RequestFixture.booking(BOOKING, false), this.retry);
		Truth.assertThat(this.retry.end()).isEqualTo("HOME_GONE UNKNOWN");
		Truth.assertThat(this.retry.failure.retryAfter()).isPresent();
	}

	@ParameterizedTest
	@CsvSource({ "false, HOME_GONE UNKNOWN, 1", "true, completed, 2" })
	void failedHomeIsReplacedOnlyForRepeatableCalls(boolean repeatable, String end, int worked) {
		this.other.call(RequestFixture.booking(BOOKING, repeatable), this.first);
		this.fixture.run();
		this.fixture.peers.unreachable.add(new VmId("entry-1"));
		this.fixture.peers.state(new Incarnation(new VmId("entry-1"), 1), Member.State.DEAD);
		this.fixture.run();
		if (repeatable) {
			reply();
		}
		Truth.assertThat(this.first.end()).isEqualTo(end);
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(worked);
	}

	/**
	 * Guards against a booking that is made twice after its home restarted on the same
	 * VM. The new incarnation has no records of the old one when the caller retries.
	 */
	@ParameterizedTest
	@CsvSource({ "entry-1, false", "entry-2, false", "entry-2, true" })
	void restartedHomeDoesNotRunTheOldId(String retryAt, boolean retryEntryKnowsOldIncarnationOnly) {
		this.home.call(RequestFixture.booking(BOOKING, false), this.first);
		this.fixture.run();
		DefaultRequestService restarted = this.fixture.daemon("entry-1", 2);
		if (retryEntryKnowsOldIncarnationOnly) {
			this.fixture.peers.state(BOOKING.issuer(), Member.State.ALIVE);
		}
		DefaultRequestService reached = ("entry-1".equals(retryAt)) ? restarted : this.other;
		reached.call(RequestFixture.booking(BOOKING, false), this.retry);
		this.fixture.run();
		Truth.assertThat(this.retry.end()).isEqualTo("HOME_GONE UNKNOWN");
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(1);
	}

	/**
	 * Guards against a late retry that books again. The record of an ended booking is
	 * dropped after its retention period, and the id of the retry looks like a new one.
	 */
	@ParameterizedTest
	@CsvSource({ "booking-7", "_0" })
	void retryAfterTheRecordIsDroppedIsNotRun(String suffix) {
		boolean issued = suffix.startsWith("_");
		this.home.call(RequestFixture.booking((issued) ? null : BOOKING, false), this.first);
		this.fixture.run();
		reply();
		this.fixture.advance(Duration.ofMinutes(10));
		this.home.call(RequestFixture.booking(RequestFixture.id("entry-1", suffix), false), this.retry);
		this.fixture.run();
		Truth.assertThat(this.retry.end()).isEqualTo("UNKNOWN_REQUEST " + ((issued) ? "UNKNOWN" : "YES"));
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(1);
	}

	@Test
	void refusedBookingMayBeRetriedWithItsId() {
		this.fixture.admissions.get("entry-1").maxWaiting = 0;
		this.home.call(RequestFixture.booking(BOOKING, false), this.first);
		Truth.assertThat(this.first.end()).isEqualTo("OVERLOADED NO");
		this.fixture.admissions.get("entry-1").maxWaiting = 10;
		this.home.call(RequestFixture.booking(BOOKING, false), this.retry);
		this.fixture.run();
		reply();
		Truth.assertThat(this.retry.end()).isEqualTo("completed");
	}

	/**
	 * Guards against a caller that retries as advised but always receives the old
	 * failure. The endpoint fails the request, the caller retries under the same id, and
	 * the record replays an outcome that is meant to be retried.
	 */
	@ParameterizedTest
	@CsvSource({ "false, NO, 2, completed", "true, UNKNOWN, 2, completed",
			"false, UNKNOWN, 1, ENDPOINT_FAILED UNKNOWN" })
	void endedRequestIsRestartedUnlessItMayHaveRun(boolean repeatable, Ran ran, int worked, String end) {
		DefaultRequestService once = this.fixture.daemon("entry-3", 1,
				RequestSettings.builder().maxAttempts(1).build());
		RequestId id = RequestFixture.id("entry-3", "a");
		once.call(RequestFixture.booking(id, repeatable), this.first);
		this.fixture.run();
		this.fixture.engines.calls.get(0).reply().completeExceptionally(FakeEngines.failure(ran, Step.START));
		Truth.assertThat(this.first.end()).isEqualTo("ENDPOINT_FAILED " + ran);
		once.call(RequestFixture.booking(id, repeatable), this.retry);
		this.fixture.run();
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(worked);
		reply();
		Truth.assertThat(this.retry.end()).isEqualTo(end);
	}

	@Test
	void idOfADifferentRequestIsRefused() {
		this.home.call(RequestFixture.booking(BOOKING, false), this.first);
		this.home.generate(RequestFixture.quote(BOOKING, true), this.retry);
		Truth.assertThat(this.retry.end()).isEqualTo("REQUEST_ID_REUSED NO");
	}

	@Test
	void fullIdTableRefusesOnlyFurtherCallerChosenIds() {
		DefaultRequestService small = this.fixture.daemon("entry-3", 1,
				RequestSettings.builder().maxUsedIds(1).build());
		small.call(RequestFixture.booking(RequestFixture.id("entry-3", "a"), false), this.first);
		small.call(RequestFixture.booking(RequestFixture.id("entry-3", "b"), false), this.retry);
		Truth.assertThat(this.retry.end()).isEqualTo("OVERLOADED NO");
		RecordingSink issued = new RecordingSink();
		small.call(RequestFixture.booking(null, false), issued);
		this.fixture.run();
		Truth.assertThat(this.first.end() + " " + issued.end()).isEqualTo("open open");
		Truth.assertThat(this.fixture.engines.sentWork()).isEqualTo(2);
	}

	private DefaultRequestService service(String vm) {
		return ("entry-1".equals(vm)) ? this.home : this.other;
	}

	private void reply() {
		FakeEngines.SentCall sent = this.fixture.engines.calls.get(this.fixture.engines.calls.size() - 1);
		sent.reply().complete(new ServiceReply(201, Map.of(), new byte[100_000]));
	}

	private static Predicate<PeerMessage> is(Class<?>... types) {
		return (message) -> Stream.of(types).anyMatch((type) -> type.isInstance(message));
	}

	private static Predicate<PeerMessage> once(Predicate<PeerMessage> lost) {
		Set<Class<?>> seen = new HashSet<>();
		return (message) -> lost.test(message) && seen.add(message.getClass());
	}

}
