package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;

import com.google.common.base.Splitter;
import com.google.common.collect.Range;
import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link StoreFollower} and {@link ObjectCopies}.
 */
class StoreFollowerTests {

	private final ManualScheduler scheduler = new ManualScheduler();

	private final FakeStore store = new FakeStore();

	private final List<String> changes = new ArrayList<>();

	private final ObjectCopies copies = new ObjectCopies(
			(object) -> this.changes.add((object.deleted() ? "-" : "+") + object.name() + object.revision()));

	private static final FollowTimes TIMES = FollowTimes.within(Duration.ofSeconds(2));

	private int rank;

	private boolean isolated;

	private long startedAt;

	private final List<Long> updates = new ArrayList<>();

	private final StoreFollower follower = follower(this.copies);

	@BeforeEach
	void start() {
		this.follower.onUpdate(this.updates::add);
		this.follower.start();
		this.store.cachedLists.poll()
			.complete(new WatchBatch(10, false, List.of(FakeStore.object("a", 3), FakeStore.object("b", 5))));
		this.scheduler.advance(StoreFollower.PEER_WAIT);
		this.startedAt = this.scheduler.nanos();
		this.scheduler.advance(StoreFollower.TICK);
	}

	@Test
	void watchesFromTheNewestObjectOfACachedList() {
		// Symptom: a daemon uses a document that was replaced seconds before its start,
		// until the next change. Sequence: the cached list is seconds old, but its
		// revision is the current one; the daemon watches from there. Cause: what changed
		// in between is in neither the list nor the watch.
		Truth.assertThat(this.changes).containsExactly("+a3", "+b5");
		Truth.assertThat(this.store.watchedFrom).isEqualTo(5);
		this.store.watches.poll().complete(new WatchBatch(10, false, List.of(FakeStore.object("a", 9)), List.of("b")));
		Truth.assertThat(this.changes).containsExactly("+a3", "+b5", "+a9", "-b10").inOrder();
	}

	@Test
	void continuesToWatchFromTheRevisionOfTheLastResult() {
		Truth.assertThat(this.changes).containsExactly("+a3", "+b5");
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of(FakeStore.object("c", 11)), List.of("a")));
		Truth.assertThat(this.changes).containsExactly("+a3", "+b5", "+c11", "-a12").inOrder();
		this.scheduler.advance(TIMES.coalesce().plus(StoreFollower.TICK));
		Truth.assertThat(this.store.watchedFrom).isEqualTo(12);
	}

	@Test
	void watcherCoalescesChangesBeforeItsNextCall() {
		// Symptom: ten times the calls that the length of watches explains. Sequence: 72
		// endpoints register one after the other while 76 daemons watch. Cause: each
		// change completes all watches, and all daemons call again at once.
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of(FakeStore.object("c", 11))));
		this.scheduler.advance(TIMES.coalesce().minusMillis(1));
		Truth.assertThat(this.store.watches).isEmpty();
		this.scheduler.advance(StoreFollower.TICK);
		Truth.assertThat(this.store.watches).hasSize(1);
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of()));
		Truth.assertThat(this.store.watches).hasSize(1);
	}

	@Test
	void reportsTheRevisionFromWhichItsUpdateIsComplete() {
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of(FakeStore.object("c", 11))));
		Truth.assertThat(this.updates).containsExactly(5L);
		Truth.assertThat(this.copies.confirmedAt()).isEqualTo(this.startedAt);
	}

	/**
	 * Guards against copies that look fresh because the store ended the watch early, and
	 * its answer was under way for long or waited in a suspended process.
	 */
	@ParameterizedTest
	@CsvSource({ "false, 5000, 9000", "true, 0, 9000", "false, 0, 3000" })
	void copiesAreConfirmedNoLaterThanTheStoreCanHaveAnswered(boolean changed, long confirmedMillis, long readMillis) {
		CompletableFuture<WatchBatch> watch = this.store.watches.poll();
		this.scheduler.advance(Duration.ofMillis(readMillis).minus(StoreFollower.TICK));
		watch.complete(new WatchBatch(12, false, changed ? List.of(FakeStore.object("c", 11)) : List.of()));
		Truth.assertThat(this.copies.confirmedAt() - this.startedAt).isEqualTo(confirmedMillis * 1_000_000);
	}

	/**
	 * Guards against a watcher whose call blocks for the length of a watch because the
	 * store doesn't answer.
	 */
	@Test
	void watcherMakesShortCallsUntilTheStoreAnswersAgain() {
		this.store.watches.poll()
			.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "silent"));
		this.scheduler.advance(RetryPauses.MIN_BACKOFF.multipliedBy(2));
		Truth.assertThat(this.store.waited).isLessThan(Duration.ofMillis(10));
		this.store.watches.poll().complete(new WatchBatch(11, false, List.of()));
		Truth.assertThat(this.store.waited).isEqualTo(TIMES.watch());
	}

	@Test
	void watchIsAbandonedIfCopiesOfPeersAreNewer() {
		// Symptom: a daemon's copies are outdated for the length of a watch. Sequence:
		// the connection to the store goes silent, the store changes, a peer sends the
		// change. Cause: the silent connection never reports an error.
		Truth.assertThat(this.store.watches).hasSize(1);
		this.copies.applyFromPeer(5, 12, List.of(new ObjectCopy("c", 12, new byte[1])));
		this.scheduler.advance(WatchHealth.STALLED_AFTER.plus(StoreFollower.TICK.multipliedBy(2)));
		Truth.assertThat(this.store.watches).hasSize(2);
		Truth.assertThat(this.store.watchedFrom).isEqualTo(12);
	}

	@Test
	void stoppedFollowerStartsNoOtherWatch() {
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of(FakeStore.object("c", 11))));
		this.follower.stop();
		this.scheduler.advance(TIMES.watch().multipliedBy(2));
		Truth.assertThat(this.store.watches).isEmpty();
	}

	@Test
	void listsAgainWhenHistoryIsLostAndDetectsDeletions() {
		// Symptom: an endpoint that left long ago still receives requests. Sequence: the
		// store drops its history, and an entry is deleted in the gap. Cause: no event
		// reports the deletion.
		this.store.watches.poll().complete(new WatchBatch(10, true, List.of()));
		this.store.lists.poll().complete(new WatchBatch(20, false, List.of(FakeStore.object("b", 5))));
		Truth.assertThat(this.changes).containsExactly("+a3", "+b5", "-a20").inOrder();
		Truth.assertThat(this.copies.complete()).isEqualTo(20);
	}

	/**
	 * Guards against copies that look fresh because an answer that the store had made
	 * early was under way for as long as a watch.
	 */
	@Test
	void storeThatEndedAWatchEarlyIsNotTakenToHoldTheNext() {
		this.scheduler.advance(Duration.ofMillis(300));
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of()));
		long startedAgain = this.scheduler.nanos();
		this.scheduler.advance(TIMES.watch());
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of()));
		Truth.assertThat(this.copies.confirmedAt()).isEqualTo(startedAgain);
	}

	/**
	 * Guards against copies that count as confirmed by a copy of an earlier answer.
	 */
	@Test
	void answerOlderThanWhatWasKnownConfirmsNothing() {
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of(FakeStore.object("c", 11))));
		this.scheduler.advance(TIMES.coalesce().plus(StoreFollower.TICK));
		long confirmed = this.copies.confirmedAt();
		this.store.watches.poll().complete(new WatchBatch(11, false, List.of()));
		Truth.assertThat(this.copies.confirmedAt()).isEqualTo(confirmed);
		Truth.assertThat(this.follower.unavailable()).isTrue();
	}

	@Test
	void olderListChangesNothing() {
		// Symptom: a deleted entry appears again. Sequence: a peer sends the changes up
		// to revision 30, then a list requested earlier arrives. Cause: lists and
		// messages of peers overtake each other.
		this.copies.applyFromPeer(5, 30, List.of(new ObjectCopy("a", 30, null)));
		this.copies.applyList(new WatchBatch(20, false, List.of(FakeStore.object("a", 3))));
		Truth.assertThat(this.changes).containsExactly("+a3", "+b5", "-a30").inOrder();
	}

	@Test
	void retriesSoonAfterAFailureAndRecordsItsTime() {
		Truth.assertThat(this.follower.sinceFailure()).isGreaterThan(Duration.ofSeconds(3));
		this.store.watches.poll()
			.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "busy"));
		Truth.assertThat(this.follower.unavailable()).isTrue();
		Truth.assertThat(this.store.watches).isEmpty();
		this.scheduler.advance(RetryPauses.MIN_BACKOFF.multipliedBy(2));
		this.store.watches.poll().complete(new WatchBatch(11, false, List.of()));
		Truth.assertThat(this.follower.unavailable()).isFalse();
		Truth.assertThat(this.follower.sinceFailure()).isLessThan(Duration.ofSeconds(3));
		this.scheduler.advance(Duration.ofSeconds(3));
		Truth.assertThat(this.follower.sinceFailure()).isAtLeast(Duration.ofSeconds(3));
	}

	/**
	 * Guards against entries that expired in an outage but count as removed, because the
	 * last failed call is too long ago.
	 */
	@ParameterizedTest
	@CsvSource({ "0", "30" })
	void outageLastsUntilTheStoreAnswers(int initialRank) {
		this.rank = initialRank;
		for (int i = 0; i < 4; i++) {
			this.store.watches.poll()
				.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "busy"));
			while (this.store.watches.isEmpty()) {
				this.scheduler.advance(StoreFollower.TICK);
			}
		}
		this.scheduler.advance(Duration.ofSeconds(1));
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of(), List.of("a")));
		Truth.assertThat(this.follower.sinceFailure()).isEqualTo(Duration.ZERO);
		Truth.assertThat(this.follower.sinceOutage()).isEqualTo(Duration.ZERO);
	}

	/**
	 * Guards against a removed entry that is used for longer because a peer, which was
	 * cut off, reports the end of an outage later than it was.
	 */
	@ParameterizedTest
	@CsvSource({ "500, 0, 500", "500, 900, 900", "3000, 0, 0" })
	void outageReportedByPeersEndedBeforeTheStoreConfirmedTheCopies(long confirmedMillis, long reportedMillis,
			long sinceMillis) {
		this.copies.confirm(this.scheduler.nanos() - Duration.ofMillis(confirmedMillis).toNanos());
		Truth.assertThat(this.follower.sinceOutage(Duration.ofMillis(reportedMillis)))
			.isEqualTo(Duration.ofMillis(sinceMillis));
	}

	/**
	 * Guards against entries that expired in an outage but count as removed, because the
	 * watch that was lost had been started long before.
	 */
	@Test
	void outageThatEndsAWatchIsAsRecentAsTheEndOfTheWatch() {
		this.scheduler.advance(TIMES.watch().plusMillis(1_200));
		this.store.watches.poll()
			.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "silent"));
		this.scheduler.advance(RetryPauses.MIN_BACKOFF.multipliedBy(2));
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of(), List.of("a")));
		Truth.assertThat(this.follower.sinceOutage(Duration.ofDays(1))).isLessThan(Duration.ofMillis(500));
	}

	/**
	 * Guards against entries that are used for up to 2 s after their removal everywhere,
	 * because a daemon that starts lost its first call and then read a long list.
	 */
	@ParameterizedTest
	@CsvSource({ "100 900 500, 1400", "'', 0" })
	void outageEndsWithTheFirstPartOfAList(String parts, long sinceMillis) {
		StoreFollower starting = follower(new ObjectCopies((object) -> {
		}));
		starting.start();
		this.scheduler.advance(Duration.ofMillis(1_200));
		this.store.cachedLists.poll()
			.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "no response"));
		while (this.store.lists.isEmpty()) {
			this.scheduler.advance(StoreFollower.TICK);
		}
		for (String millis : Splitter.on(' ').omitEmptyStrings().split(parts)) {
			this.scheduler.advance(Duration.ofMillis(Long.parseLong(millis)));
			this.store.partAnswered.run();
		}
		this.store.lists.poll().complete(new WatchBatch(12, false, List.of(FakeStore.object("a", 3))));
		Truth.assertThat(starting.sinceOutage()).isEqualTo(Duration.ofMillis(sinceMillis));
	}

	@Test
	void singleFailedCallIsNoOutage() {
		this.store.watches.poll()
			.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "cut off"));
		Truth.assertThat(this.follower.sinceOutage()).isGreaterThan(Duration.ofSeconds(3));
		this.scheduler.advance(RetryPauses.MIN_BACKOFF.multipliedBy(2));
		this.store.watches.poll()
			.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "busy"));
		Truth.assertThat(this.follower.sinceOutage()).isLessThan(Duration.ofSeconds(3));
	}

	@ParameterizedTest
	@CsvSource({ "0, 12, 40", "30, 1, 5" })
	void onlyWatchersRetryOftenWhileTheStoreIsUnavailable(int initialRank, int least, int most) {
		// Symptom: hundreds of refused calls a second while the store is unavailable.
		// Sequence: the store refuses all daemons for ten seconds. Cause: each daemon
		// retries as often as a watcher, on which all others depend.
		this.rank = initialRank;
		int calls = 0;
		for (Duration elapsed = Duration.ZERO; elapsed.toSeconds() < 10; elapsed = elapsed.plus(StoreFollower.TICK)) {
			while (!this.store.watches.isEmpty()) {
				calls++;
				this.store.watches.poll()
					.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "busy"));
			}
			this.scheduler.advance(StoreFollower.TICK);
		}
		Truth.assertThat(calls).isIn(Range.closed(least, most));
	}

	/**
	 * Guards against a watcher that the store alone refuses, and that calls it several
	 * times a second while its peers confirm its copies.
	 */
	@ParameterizedTest
	@CsvSource({ "true, 0, 11", "false, 12, 60" })
	void refusedWatcherRetriesSoonOnlyWhileNobodyConfirmsItsCopies(boolean peersConfirm, int least, int most) {
		int calls = 0;
		for (Duration elapsed = Duration.ZERO; elapsed.toSeconds() < 10; elapsed = elapsed.plus(StoreFollower.TICK)) {
			if (peersConfirm) {
				this.copies.confirm(this.scheduler.nanos());
			}
			while (!this.store.watches.isEmpty()) {
				calls++;
				this.store.watches.poll()
					.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "busy"));
			}
			this.scheduler.advance(StoreFollower.TICK);
		}
		Truth.assertThat(calls).isIn(Range.closed(least, most));
	}

	@Test
	void refusedWatcherRetriesSoonOnceItsPeersAreRefusedToo() {
		this.copies.confirm(this.scheduler.nanos());
		this.scheduler.advance(StoreFollower.TICK);
		this.store.watches.poll()
			.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "busy"));
		this.scheduler.advance(TIMES.checkAfter());
		Truth.assertThat(this.store.watches).hasSize(1);
		this.store.watches.poll()
			.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "busy"));
		this.scheduler.advance(RetryPauses.MAX_BACKOFF.multipliedBy(2));
		Truth.assertThat(this.store.watches).hasSize(1);
	}

	/**
	 * Guards against a list call by each daemon of a fleet that starts, for a kind that
	 * has no objects.
	 */
	@ParameterizedTest
	@CsvSource({ "true, 0", "false, 1" })
	void emptyKindIsListedAgainOnlyIfNobodyConfirmsIt(boolean peersConfirm, int lists) {
		FakeStore emptyStore = new FakeStore();
		ObjectCopies emptyCopies = new ObjectCopies((object) -> {
		});
		this.rank = 30;
		new StoreFollower("crashing-requests", this.scheduler, new Random(1), emptyStore, emptyCopies,
				new FollowOrder() {

					@Override
					public int rank() {
						return StoreFollowerTests.this.rank;
					}

					@Override
					public boolean isolated() {
						return false;
					}

				}, TIMES, DecisionLog.NONE)
			.start();
		emptyStore.cachedLists.poll().complete(new WatchBatch(10, false, List.of()));
		for (int i = 0; i < 50; i++) {
			if (peersConfirm) {
				emptyCopies.confirm(this.scheduler.nanos());
			}
			this.scheduler.advance(StoreFollower.TICK);
		}
		Truth.assertThat(emptyStore.lists).hasSize(lists);
	}

	private StoreFollower follower(ObjectCopies followed) {
		return new StoreFollower("servers", this.scheduler, new Random(1), this.store, followed, new FollowOrder() {

			@Override
			public int rank() {
				return StoreFollowerTests.this.rank;
			}

			@Override
			public boolean isolated() {
				return StoreFollowerTests.this.isolated;
			}

		}, TIMES, DecisionLog.NONE);
	}

}
