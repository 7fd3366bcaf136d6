package org.bramleyscale.internal.membership;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import org.bramleyscale.VmId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class NeighboursTests {

	@Test
	void singleMemberHasNoNeighbours() {
		Neighbours neighbours = Neighbours.of(new VmId("entry-0"), List.of());
		Truth.assertThat(neighbours.successors()).isEmpty();
		Truth.assertThat(neighbours.predecessors()).isEmpty();
	}

	@ParameterizedTest
	@ValueSource(ints = { 2, 3, 9, 68, 200 })
	void successorsAndPredecessorsMatch(int size) {
		Map<VmId, Neighbours> all = all(size);
		all.forEach((member, neighbours) -> {
			Truth.assertThat(neighbours.successors()).isNotEmpty();
			Truth.assertThat(neighbours.successors().size()).isAtMost(3);
			for (VmId successor : neighbours.successors()) {
				Truth.assertThat(all.get(successor).predecessors()).contains(member);
			}
			for (VmId predecessor : neighbours.predecessors()) {
				Truth.assertThat(all.get(predecessor).successors()).contains(member);
			}
		});
	}

	/**
	 * A claim that is sent only to successors must reach all members in few hops.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 2, 9, 68, 200 })
	void allMembersAreReachableThroughSuccessors(int size) {
		Map<VmId, Neighbours> all = all(size);
		for (VmId from : all.keySet()) {
			Set<VmId> reached = new HashSet<>(Set.of(from));
			Deque<VmId> queue = new ArrayDeque<>(reached);
			while (!queue.isEmpty()) {
				for (VmId successor : all.get(queue.remove()).successors()) {
					if (reached.add(successor)) {
						queue.add(successor);
					}
				}
			}
			Truth.assertThat(reached).hasSize(size);
		}
	}

	private static Map<VmId, Neighbours> all(int size) {
		List<VmId> members = IntStream.range(0, size).mapToObj((i) -> new VmId("entry-" + i)).toList();
		Map<VmId, Neighbours> all = new HashMap<>();
		members.forEach((member) -> all.put(member, Neighbours.of(member, members)));
		return all;
	}

}
