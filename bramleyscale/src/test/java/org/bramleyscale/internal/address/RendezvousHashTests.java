package org.bramleyscale.internal.address;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import com.google.common.collect.Range;
import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

class RendezvousHashTests {

	private static final int KEYS = 13_000;

	private final RendezvousHash<String> hash = new RendezvousHash<>((name) -> name);

	private final List<String> members = IntStream.range(0, 20).mapToObj((i) -> "entry-" + i).toList();

	@Test
	void theOrderOfMembersDoesNotMatter() {
		List<String> shuffled = new ArrayList<>(this.members);
		Collections.shuffle(shuffled, new Random(1));
		for (int i = 0; i < 100; i++) {
			Truth.assertThat(this.hash.ranked("key-" + i, shuffled))
				.isEqualTo(this.hash.ranked("key-" + i, this.members));
		}
	}

	@Test
	void theOwnerRanksFirst() {
		for (int i = 0; i < 100; i++) {
			List<String> ranked = this.hash.ranked("key-" + i, this.members);
			Truth.assertThat(this.hash.owner("key-" + i, this.members)).isEqualTo(Optional.of(ranked.get(0)));
			Truth.assertThat(this.hash.first("key-" + i, this.members, 3)).isEqualTo(ranked.subList(0, 3));
		}
	}

	@Test
	void withoutMembersThereIsNoOwner() {
		Truth.assertThat(this.hash.owner("key", List.of())).isEmpty();
		Truth.assertThat(this.hash.first("key", List.of(), 2)).isEmpty();
	}

	/**
	 * Removing a member must move only its own keys, each to the member that ranked
	 * second for it.
	 */
	@Test
	void removingAMemberMovesOnlyItsKeys() {
		List<String> fewer = new ArrayList<>(this.members);
		fewer.remove("entry-7");
		int moved = 0;
		for (int i = 0; i < KEYS; i++) {
			List<String> before = this.hash.first("key-" + i, this.members, 2);
			String after = this.hash.owner("key-" + i, fewer).orElseThrow();
			boolean removedOwner = before.get(0).equals("entry-7");
			Truth.assertThat(after).isEqualTo(before.get(removedOwner ? 1 : 0));
			moved += removedOwner ? 1 : 0;
		}
		Truth.assertThat(moved).isIn(Range.closed(KEYS / 20 * 3 / 4, KEYS / 20 * 5 / 4));
	}

	@Test
	void keysSpreadEvenly() {
		Map<String, Integer> counts = new HashMap<>();
		for (int i = 0; i < KEYS; i++) {
			counts.merge(this.hash.owner("key-" + i, this.members).orElseThrow(), 1, Integer::sum);
		}
		for (String member : this.members) {
			Truth.assertThat(counts.get(member)).isIn(Range.closed(KEYS / 20 * 3 / 4, KEYS / 20 * 5 / 4));
		}
	}

	/**
	 * All daemons of a fleet must compute the same ranks, even if they run different
	 * builds, so these ranks must never change.
	 */
	@Test
	void ranksArePartOfTheProtocol() {
		Truth.assertThat(this.hash.first("shard-1", this.members, 3))
			.containsExactly("entry-4", "entry-11", "entry-2")
			.inOrder();
	}

}
