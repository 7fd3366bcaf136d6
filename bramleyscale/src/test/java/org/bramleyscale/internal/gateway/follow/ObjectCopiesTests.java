package org.bramleyscale.internal.gateway.follow;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.platform.WatchBatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests of {@link ObjectCopies} that two daemons exchange.
 */
class ObjectCopiesTests {

	private final ObjectCopies ours = new ObjectCopies((object) -> {
	});

	private final ObjectCopies theirs = new ObjectCopies((object) -> {
	});

	/** Guards against a removed entry that stays since no list tells of its removal. */
	@Test
	void changesOfAPeerThatListedAfterARemovalReplaceAllCopies() {
		this.ours.applyList(list(80, "x"));
		this.ours.applyChanges(new WatchBatch(85, false, List.of(FakeStore.object("y", 85))));
		this.theirs.applyList(new WatchBatch(95, false, List.of(FakeStore.object("y", 85))));
		update(this.theirs, this.ours, 85);
		Truth.assertThat(names(this.ours)).containsExactly("y");
	}

	/** Guards against a removed entry that stays since the peer never knew it. */
	@Test
	void removalsOfObjectsThatAPeerNeverKnewArePassedOn() {
		this.theirs.applyList(list(50, "y"));
		this.ours.applyList(list(60, "x", "y"));
		this.theirs.applyChanges(new WatchBatch(70, false, List.of(), List.of("x")));
		update(this.theirs, this.ours, 60);
		Truth.assertThat(names(this.ours)).containsExactly("y");
	}

	/** Guards against entries that count as removed since a list couldn't go on. */
	@Test
	void copiesThatAListWithAGapLacksRemain() {
		this.ours.applyList(list(60, "x", "y"));
		this.ours.applyList(new WatchBatch(80, true, List.of(FakeStore.object("y", 70), FakeStore.object("z", 75))));
		Truth.assertThat(names(this.ours)).containsExactly("x", "y", "z");
		Truth.assertThat(this.ours.complete()).isEqualTo(80);
		this.ours.applyList(list(90, "y"));
		Truth.assertThat(names(this.ours)).containsExactly("y");
	}

	/** Guards against names that can't be used and are passed on for ever. */
	@ParameterizedTest
	@CsvSource({ "0, b&z", "0, ..", "60, ''", "60, b c" })
	void copiesOfAPeerUnderNamesWithoutAKeyAreIgnored(long from, String name) {
		this.ours.applyList(list(60, "a"));
		this.ours.applyFromPeer(from, 80,
				List.of(copy("a", 60), new ObjectCopy(name, 70, null), copy(name, 75), copy("c", 80)));
		Truth.assertThat(this.ours.changedAfter(1).stream().map(ObjectCopy::name).toList()).containsExactly("a", "c");
		Truth.assertThat(this.ours.complete()).isEqualTo(80);
	}

	private static ObjectCopy copy(String name, long revision) {
		return new ObjectCopy(name, revision, new byte[0]);
	}

	/** Guards against a removed entry that comes back from a peer's older copies. */
	@ParameterizedTest
	@EnumSource(Sent.class)
	void olderCopiesOfAPeerBringNothingBack(Sent sent) {
		this.theirs.applyList(list(40, "y"));
		this.theirs.applyChanges(new WatchBatch(60, false, List.of(FakeStore.object("x", 60))));
		this.ours.applyList(list(40, "y"));
		this.ours.applyChanges(new WatchBatch(70, false, List.of(), List.of("x")));
		update(this.theirs, this.ours, (sent == Sent.ALL) ? 0 : 40);
		Truth.assertThat(names(this.ours)).containsExactly("y");
	}

	/** Guards against a confirmation of copies that lack a removal. */
	@Test
	void confirmationOfNewerCopiesDoesNotCoverOlderOnesWithTheSameNewestChange() {
		this.ours.applyList(new WatchBatch(80, false, List.of(FakeStore.object("x", 70), FakeStore.object("y", 80))));
		this.theirs.applyList(new WatchBatch(95, false, List.of(FakeStore.object("y", 80))));
		CopiesDigest.Held digest = new CopiesDigest.Held("servers", this.theirs.lastChange(), this.theirs.complete(),
				0);
		Truth.assertThat(this.ours.covers(digest)).isFalse();
	}

	/** Guards against changes that are lost behind one that can't be applied. */
	@Test
	void changesBehindOneWhoseListenerFailsAreApplied() {
		List<String> applied = new ArrayList<>();
		ObjectCopies failing = new ObjectCopies((object) -> {
			if (object.name().equals("x")) {
				throw new IllegalStateException("x");
			}
			applied.add(object.name());
		});
		failing.applyList(list(80, "w", "x", "y"));
		failing.applyChanges(
				new WatchBatch(90, false, List.of(FakeStore.object("x", 85), FakeStore.object("z", 86)), List.of("w")));
		Truth.assertThat(applied).containsExactly("w", "y", "z", "w");
		Truth.assertThat(failing.complete()).isEqualTo(90);
	}

	private static void update(ObjectCopies from, ObjectCopies to, long after) {
		long gapless = from.gaplessFrom(after);
		to.applyFromPeer(gapless, from.complete(), from.changedAfter(gapless));
	}

	private static WatchBatch list(long revision, String... names) {
		return new WatchBatch(revision, false,
				Arrays.stream(names).map((name) -> FakeStore.object(name, revision)).toList());
	}

	private static List<String> names(ObjectCopies copies) {
		return copies.changedAfter(0).stream().map(ObjectCopy::name).toList();
	}

	/** What a peer sends of its copies. */
	private enum Sent {

		ALL, CHANGES

	}

}
