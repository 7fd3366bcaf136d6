package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link StoreFollower} and {@link FollowedKind}.
 */
class StoreFollowerTests {

	private final ManualScheduler scheduler = new ManualScheduler();

	private final FakeStore store = new FakeStore();

	private final List<String> heard = new ArrayList<>();

	private final FollowedKind copies = new FollowedKind(
			(object) -> this.heard.add((object.deleted() ? "-" : "+") + object.name() + object.revision()));

	private FollowPace pace = FollowPace.CLOSE;

	private final StoreFollower follower = new StoreFollower("servers", this.scheduler, new Random(1), this.store,
			this.copies, () -> this.pace, DecisionLog.NONE);

	@BeforeEach
	void start() {
		this.follower.start();
		this.store.lists.poll()
			.complete(new WatchBatch(10, false, List.of(FakeStore.object("a", 3), FakeStore.object("b", 5))));
	}

	@Test
	void listsOnceAndThenWatchesFromTheListsRevision() {
		Truth.assertThat(this.heard).containsExactly("+a3", "+b5");
		Truth.assertThat(this.store.watchedFrom).isEqualTo(10);
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of(FakeStore.object("c", 11)), List.of("a")));
		Truth.assertThat(this.heard).containsExactly("+a3", "+b5", "+c11", "-a12").inOrder();
		Truth.assertThat(this.store.watchedFrom).isEqualTo(12);
	}

	@Test
	void aLooseFollowerPausesAfterChangesOnly() {
		// Symptom: ten times the calls that the watches' length explains. Sequence: 72
		// endpoints register one after the other, 76 daemons watch. Cause: each change
		// answers all watches at once, and all ask anew at once.
		this.pace = FollowPace.LOOSE;
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of(FakeStore.object("c", 11))));
		this.scheduler.advance(FollowPace.LOOSE.pause().minusMillis(1));
		Truth.assertThat(this.store.watches).isEmpty();
		this.scheduler.advance(Duration.ofMillis(1));
		Truth.assertThat(this.store.watches).hasSize(1);
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of()));
		Truth.assertThat(this.store.watches).hasSize(1);
	}

	@Test
	void aStoppedFollowerBeginsNoOtherWatch() {
		this.pace = FollowPace.LOOSE;
		this.store.watches.poll().complete(new WatchBatch(12, false, List.of(FakeStore.object("c", 11))));
		this.follower.stop();
		this.scheduler.advance(FollowPace.LOOSE.watch());
		Truth.assertThat(this.store.watches).isEmpty();
	}

	@Test
	void listsAnewWhenHistoryIsLostAndNoticesWhatWasDeletedMeanwhile() {
		// Symptom: an endpoint that left long ago still gets requests. Sequence: the
		// store
		// drops its history, an entry is deleted in the gap. Cause: no event tells of it.
		this.store.watches.poll().complete(new WatchBatch(10, true, List.of()));
		this.store.lists.poll().complete(new WatchBatch(20, false, List.of(FakeStore.object("b", 5))));
		Truth.assertThat(this.heard).containsExactly("+a3", "+b5", "-a20").inOrder();
		Truth.assertThat(this.copies.complete()).isEqualTo(20);
	}

	@Test
	void anOlderListChangesNothing() {
		// Symptom: a deleted entry appears again. Sequence: a peer tells changes up to
		// 30,
		// then a list asked for before arrives. Cause: lists and peers overtake each
		// other.
		this.copies.fromPeer(10, 30, List.of(new FollowedObject("a", 30, null)));
		this.copies.list(new WatchBatch(20, false, List.of(FakeStore.object("a", 3))));
		Truth.assertThat(this.heard).containsExactly("+a3", "+b5", "-a30").inOrder();
	}

	@Test
	void triesAgainSoonAfterAFailureAndRemembersIt() {
		Truth.assertThat(this.follower.failedWithin(Duration.ofSeconds(3))).isFalse();
		this.store.watches.poll()
			.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "busy"));
		Truth.assertThat(this.follower.away()).isTrue();
		Truth.assertThat(this.store.watches).isEmpty();
		this.scheduler.advance(StoreFollower.SHORTEST_PAUSE.multipliedBy(2));
		this.store.watches.poll().complete(new WatchBatch(11, false, List.of()));
		Truth.assertThat(this.follower.away()).isFalse();
		Truth.assertThat(this.follower.failedWithin(Duration.ofSeconds(3))).isTrue();
		this.scheduler.advance(Duration.ofSeconds(3));
		Truth.assertThat(this.follower.failedWithin(Duration.ofSeconds(3))).isFalse();
	}

}
