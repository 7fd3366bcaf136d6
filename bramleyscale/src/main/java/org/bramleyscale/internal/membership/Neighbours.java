package org.bramleyscale.internal.membership;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import com.google.common.hash.Hashing;
import org.bramleyscale.VmId;

/**
 * The members with which a member exchanges heartbeats inside its data centre.
 *
 * <p>
 * The members are arranged on three rings, each ordered by a different hash. A member
 * sends to its successor on each ring and expects heartbeats from its predecessor. So
 * each member has about three monitors whatever the size of the data centre, a claim
 * reaches all members in few hops, and VMs with adjacent names, which may share a rack,
 * seldom monitor each other. Immutable.
 *
 * @param successors the members to send heartbeats to
 * @param predecessors the members to expect heartbeats from
 */
record Neighbours(Set<VmId> successors, Set<VmId> predecessors) {

	private static final int RINGS = 3;

	/**
	 * Determines the neighbours of a member.
	 * @param self the member
	 * @param members the members of its data centre, with or without itself
	 * @return its neighbours
	 */
	static Neighbours of(VmId self, Collection<VmId> members) {
		Set<VmId> successors = new LinkedHashSet<>();
		Set<VmId> predecessors = new LinkedHashSet<>();
		Set<VmId> all = new LinkedHashSet<>(members);
		all.add(self);
		for (int ring = 0; ring < RINGS; ring++) {
			List<VmId> order = order(ring, all);
			int position = order.indexOf(self);
			successors.add(order.get((position + 1) % order.size()));
			predecessors.add(order.get((position + order.size() - 1) % order.size()));
		}
		successors.remove(self);
		predecessors.remove(self);
		return new Neighbours(successors, predecessors);
	}

	private static List<VmId> order(int ring, Collection<VmId> members) {
		List<Position> positions = new ArrayList<>(members.size());
		for (VmId member : members) {
			long hash = Hashing.murmur3_128(ring).hashString(member.value(), StandardCharsets.UTF_8).asLong();
			positions.add(new Position(hash, member));
		}
		positions.sort(Comparator.comparingLong(Position::hash).thenComparing((position) -> position.member().value()));
		return positions.stream().map(Position::member).toList();
	}

	/**
	 * A member's position on one ring.
	 *
	 * @param hash the hash by which members are ordered
	 * @param member the member
	 */
	private record Position(long hash, VmId member) {
	}

}
