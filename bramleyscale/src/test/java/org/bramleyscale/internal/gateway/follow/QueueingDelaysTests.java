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
 * Tests of {@link QueueingDelays}: a peer whose clock started at another time, and
 * messages that take 30 ms each way and what they wait.
 */
class QueueingDelaysTests {

	private static final Incarnation SELF = new Incarnation(new VmId("self"), 1);

	private static final Incarnation PEER = new Incarnation(new VmId("peer"), 1);

	private static final long TRAVEL = 30;

	/** What a message takes that waited for nothing, and the quickest question. */
	private static final long QUICKEST = 2 * TRAVEL;

	private final ManualScheduler scheduler = new ManualScheduler();

	private final List<Boolean> queues = new ArrayList<>();

	private final QueueingDelays delays = new QueueingDelays(SELF, this.scheduler,
			(from, queue, waitedMillis) -> this.queues.add(queue));

	private long ahead = 1_000_000;

	@ParameterizedTest
	@ValueSource(longs = { -1_000_000, 0, 3_600_000, 40L * 365 * 24 * 3_600_000 })
	void whatAMessageWaitedIsKnownAfterAQuickExchangeWhateverTheClocksSay(long peerIsAhead) {
		this.ahead = peerIsAhead;
		answer(0, 250, 0);
		Truth.assertThat(push(0)).hasValue(QUICKEST);
		Truth.assertThat(push(2_500)).hasValue(2_500 + QUICKEST);
		Truth.assertThat(answer(0, 0, 40)).hasValue(40 + QUICKEST);
	}

	@Test
	void nothingIsKnownBeforeThePeerHasAnswered() {
		Truth.assertThat(push(0)).isEmpty();
		Truth.assertThat(this.delays.waitedMillis(PEER, null)).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(longs = { 1, 2, 3, 4, 5 })
	void aMessageNeverWaitedLongerThanIsSaid(long seed) {
		// Symptom: news of four seconds ago look fresh on a daemon that met the peer when
		// its queue was already full. Cause: the quickest message is taken for one that
		// waited for nothing, and all that were heard had waited.
		Random random = new Random(seed);
		for (int i = 0; i < 500; i++) {
			long waits = random.nextInt(8_000);
			OptionalLong said = random.nextBoolean() ? push(waits)
					: answer(random.nextInt(8_000), random.nextInt(500), waits);
			said.ifPresent((millis) -> Truth.assertThat(millis).isAtLeast(waits + TRAVEL));
		}
	}

	@Test
	void clocksThatDriftApartDontLookLikeAQueue() {
		// Symptom: after a day all news look seconds old, and every daemon asks the store
		// all the time. Cause: the peer's clock is slow by 50 parts in a million, and an
		// exchange of hours ago is compared with.
		long drifted = 0;
		for (int second = 0; second < Duration.ofDays(1).toSeconds(); second += 5) {
			drifted = second / 20;
			this.ahead = 1_000_000 - drifted;
			Truth.assertThat(answer(0, 0, 0).getAsLong()).isAtMost(QUICKEST + 60);
			this.scheduler.advance(Duration.ofSeconds(5));
		}
		Truth.assertThat(drifted).isAtLeast(4_000);
	}

	@Test
	void aQueueThatStandsForTenMinutesIsSeenAllTheTime() {
		answer(0, 0, 0);
		for (int second = 0; second < QueueingDelays.WINDOW.toSeconds(); second += 10) {
			Truth.assertThat(push(4_000)).hasValue(4_000 + QUICKEST);
			this.scheduler.advance(Duration.ofSeconds(5));
		}
	}

	@Test
	void aClockOfThePeerThatStoodStillLooksLikeAQueueUntilTheNextAnswer() {
		answer(0, 0, 0);
		this.ahead -= 9_000;
		Truth.assertThat(push(0)).hasValue(9_000 + QUICKEST);
		Truth.assertThat(answer(0, 0, 0)).hasValue(QUICKEST);
	}

	@Test
	void anOwnClockThatStoodStillHidesNoQueue() {
		// Symptom: after a pause of this VM news that wait for seconds look fresh. Cause:
		// by this clock every message now arrives earlier than it can.
		answer(0, 0, 0);
		this.ahead += 9_000;
		Truth.assertThat(push(4_000)).isEmpty();
		answer(0, 0, 0);
		Truth.assertThat(push(4_000)).hasValue(4_000 + QUICKEST);
	}

	@Test
	void aPeerThatStartsAgainIsMeasuredAnew() {
		answer(0, 0, 0);
		Incarnation next = new Incarnation(PEER.vm(), 2);
		Truth.assertThat(this.delays.waitedMillis(next, new SendingTimes(1, null, 0, 0))).isEmpty();
	}

	@Test
	void anAnswerToAnEarlierStartOfThisDaemonMeansNothing() {
		Incarnation before = new Incarnation(SELF.vm(), 0);
		SendingTimes times = new SendingTimes(1, before, 1, 0);
		Truth.assertThat(this.delays.waitedMillis(PEER, times)).isEmpty();
		Truth.assertThat(this.delays.lacksEcho(times)).isTrue();
	}

	@Test
	void anAnswerNamesTheLastMessageHeardAndHowLongAgoThatWas() {
		Truth.assertThat(this.delays.forPeer(PEER.vm()).addressee()).isNull();
		this.delays.waitedMillis(PEER, new SendingTimes(700, null, 0, 0));
		this.scheduler.advance(Duration.ofMillis(80));
		Truth.assertThat(this.delays.forPeer(PEER.vm())).isEqualTo(new SendingTimes(80, PEER, 700, 80));
	}

	@Test
	void tellsOnceThatAQueueBeginsAndOnceThatItEnds() {
		answer(0, 0, 0);
		for (long waits : new long[] { 0, 900, 1_000, 5_000, 300, 900, 100, 900, 0 }) {
			push(waits);
		}
		Truth.assertThat(this.queues).containsExactly(true, false).inOrder();
	}

	private OptionalLong push(long waits) {
		return arrives(waits, null, 0, 0);
	}

	private OptionalLong answer(long questionWaits, long held, long answerWaits) {
		long asked = this.delays.forBroadcast().sentMillis();
		this.scheduler.advance(Duration.ofMillis(questionWaits + TRAVEL + held));
		return arrives(answerWaits, SELF, asked, held);
	}

	private OptionalLong arrives(long waits, Incarnation heard, long asked, long held) {
		long sent = Duration.ofNanos(this.scheduler.nanos()).toMillis() + this.ahead;
		this.scheduler.advance(Duration.ofMillis(waits + TRAVEL));
		return this.delays.waitedMillis(PEER, new SendingTimes(sent, heard, asked, held));
	}

}
