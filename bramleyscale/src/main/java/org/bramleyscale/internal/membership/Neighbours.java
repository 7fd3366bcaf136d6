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
 * Who sends heartbeats to whom inside a data centre.
 *
 * <p>
 * The members stand on three rings, each in another order by hash. A member sends to the
 * next one on each ring and expects to hear the one before it. So each has about three
 * monitors whatever the size, a claim reaches all in few hops, and VMs with adjacent
 * names, which may share a rack, seldom monitor each other. Immutable.
 *
 * @param successors whom to send to
 * @param predecessors whom to expect heartbeats from
 */
record Neighbours(Set<VmId> successors, Set<VmId> predecessors) {

	private static final int RINGS = 3;

	/**
	 * Finds the neighbours of one member.
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
			int place = order.indexOf(self);
			successors.add(order.get((place + 1) % order.size()));
			predecessors.add(order.get((place + order.size() - 1) % order.size()));
		}
		successors.remove(self);
		predecessors.remove(self);
		return new Neighbours(successors, predecessors);
	}

	private static List<VmId> order(int ring, Collection<VmId> members) {
		List<Place> places = new ArrayList<>(members.size());
		for (VmId member : members) {
			long hash = Hashing.murmur3_128(ring).hashString(member.value(), StandardCharsets.UTF_8).asLong();
			places.add(new Place(hash, member));
		}
		places.sort(Comparator.comparingLong(Place::hash).thenComparing((place) -> place.member().value()));
		return places.stream().map(Place::member).toList();
	}

	/**
	 * A member's place on one ring.
	 *
	 * @param hash the place
	 * @param member the member
	 */
	private record Place(long hash, VmId member) {
	}

}
