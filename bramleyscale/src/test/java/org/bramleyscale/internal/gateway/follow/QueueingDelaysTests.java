package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;

import com.google.common.truth.Truth;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link QueueingDelays}: a peer whose clock has another origin, and messages
 * that take 30 ms each way in addition to their queueing delay.
 */
class QueueingDelaysTests {

	private static final Incarnation SELF = new Incarnation(new VmId("self"), 1);

	private static final Incarnation PEER = new Incarnation(new VmId("peer"), 1);

	private static final long LINK_DELAY = 30;

	/** The estimate for a message without queueing delay after the quickest exchange. */
	private static final long ROUND_TRIP = 2 * LINK_DELAY;

	private final ManualScheduler scheduler = new ManualScheduler();

	private final List<Boolean> transitions = new ArrayList<>();

	private final QueueingDelays delays = new QueueingDelays(SELF, this.scheduler,
			(from, queueing, waitedMillis) -> this.transitions.add(queueing));

	private long ahead = 1_000_000;

	@ParameterizedTest
	@ValueSource(longs = { -1_000_000, 0, 3_600_000, 40L * 365 * 24 * 3_600_000 })
	void delayIsKnownAfterAQuickExchangeWhateverTheClockOffset(long peerIsAhead) {
		this.ahead = peerIsAhead;
		answer(0, 250, 0);
		Truth.assertThat(push(0)).hasValue(ROUND_TRIP);
		Truth.assertThat(push(2_500)).hasValue(2_500 + ROUND_TRIP);
		Truth.assertThat(answer(0, 0, 40)).hasValue(40 + ROUND_TRIP);
	}

	@Test
	void noDelayIsKnownBeforeThePeerHasAnswered() {
		Truth.assertThat(push(0)).isEmpty();
		Truth.assertThat(this.delays.waitedMillis(PEER, null)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void estimateIsNeverLessThanTheDelay(long seed) {
		// Symptom: copies that are four seconds old look fresh on a daemon that first
		// connected to the peer when its queue was already full. Cause: the quickest
		// message is assumed to have had no queueing delay, but all messages received had
		// one.
		Random random = new Random(seed);
		for (int i = 0; i < 500; i++) {
			long delay = random.nextInt(8_000);
			OptionalLong estimate = random.nextBoolean() ? push(delay)
					: answer(random.nextInt(8_000), random.nextInt(500), delay);
			estimate.ifPresent((millis) -> Truth.assertThat(millis).isAtLeast(delay + LINK_DELAY));
		}
	}

	@Test
	void clockDriftIsNotMistakenForAQueue() {
		// Symptom: after a day all copies look seconds old, and every daemon queries the
		// store all the time. Cause: the peer's clock is slow by 50 parts in a million,
		// and messages are compared with an exchange of hours ago.
		long drift = 0;
		for (int second = 0; second < Duration.ofDays(1).toSeconds(); second += 5) {
			drift = second / 20;
			this.ahead = 1_000_000 - drift;
			Truth.assertThat(answer(0, 0, 0).getAsLong()).isAtMost(ROUND_TRIP + 60);
			this.scheduler.advance(Duration.ofSeconds(5));
		}
		Truth.assertThat(drift).isAtLeast(4_000);
	}

	@Test
	void queueIsDetectedForAllOfTenMinutes() {
		answer(0, 0, 0);
		for (int second = 0; second < QueueingDelays.WINDOW.toSeconds(); second += 10) {
			Truth.assertThat(push(4_000)).hasValue(4_000 + ROUND_TRIP);
			this.scheduler.advance(Duration.ofSeconds(5));
		}
	}

	@Test
	void suspendedPeerClockLooksLikeAQueueUntilTheNextAnswer() {
		answer(0, 0, 0);
		this.ahead -= 9_000;
		Truth.assertThat(push(0)).hasValue(9_000 + ROUND_TRIP);
		Truth.assertThat(answer(0, 0, 0)).hasValue(ROUND_TRIP);
	}

	@Test
	void suspendedLocalClockHidesNoQueue() {
		// Symptom: after a suspension of this VM, copies that queue for seconds look
		// fresh. Cause: by the local clock every message now arrives earlier than is
		// possible.
		answer(0, 0, 0);
		this.ahead += 9_000;
		Truth.assertThat(push(4_000)).isEmpty();
		answer(0, 0, 0);
		Truth.assertThat(push(4_000)).hasValue(4_000 + ROUND_TRIP);
	}

	@Test
	void estimateOfARestartedPeerIsReset() {
		answer(0, 0, 0);
		Incarnation next = new Incarnation(PEER.vm(), 2);
		Truth.assertThat(this.delays.waitedMillis(next, new SendingTimes(1, null, 0, 0))).isEmpty();
	}

	@Test
	void echoOfAnEarlierStartOfThisDaemonIsIgnored() {
		Incarnation before = new Incarnation(SELF.vm(), 0);
		SendingTimes times = new SendingTimes(1, before, 1, 0);
		Truth.assertThat(this.delays.waitedMillis(PEER, times)).isEmpty();
		Truth.assertThat(this.delays.lacksEcho(times)).isTrue();
	}

	@Test
	void timestampsEchoTheLastMessageReceivedAndItsAge() {
		Truth.assertThat(this.delays.forPeer(PEER.vm()).addressee()).isNull();
		this.delays.waitedMillis(PEER, new SendingTimes(700, null, 0, 0));
		this.scheduler.advance(Duration.ofMillis(80));
		Truth.assertThat(this.delays.forPeer(PEER.vm())).isEqualTo(new SendingTimes(80, PEER, 700, 80));
	}

	@Test
	void notifiesOnceWhenAQueueStartsAndOnceWhenItEnds() {
		answer(0, 0, 0);
		for (long delay : new long[] { 0, 900, 1_000, 5_000, 300, 900, 100, 900, 0 }) {
			push(delay);
		}
		Truth.assertThat(this.transitions).containsExactly(true, false).inOrder();
	}

	private OptionalLong push(long delay) {
		return receive(delay, null, 0, 0);
	}

	private OptionalLong answer(long requestDelay, long holdTime, long answerDelay) {
		long echoedMillis = this.delays.forBroadcast().sentMillis();
		this.scheduler.advance(Duration.ofMillis(requestDelay + LINK_DELAY + holdTime));
		return receive(answerDelay, SELF, echoedMillis, holdTime);
	}

	private OptionalLong receive(long delay, Incarnation addressee, long echoedMillis, long holdTime) {
		long sent = Duration.ofNanos(this.scheduler.nanos()).toMillis() + this.ahead;
		this.scheduler.advance(Duration.ofMillis(delay + LINK_DELAY));
		return this.delays.waitedMillis(PEER, new SendingTimes(sent, addressee, echoedMillis, holdTime));
	}

}
