package org.bramleyscale.internal.request;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.endpoint.Permit;
import org.bramleyscale.internal.endpoint.Reservations.GroupMember;

/**
 * Makes the place of a request that runs on a reserved group of engines. Stateless.
 */
final class GroupPlace {

	private GroupPlace() {
	}

	/**
	 * Places a request on its group.
	 * @param placement the request's placement, with a group
	 * @param pool gives permits; they only make the prompt's work visible to routing, the
	 * memory is held by the reservation, so a permit that can't be had changes nothing
	 * @return the place
	 */
	static Place of(Placement placement, EndpointPool pool) {
		List<GroupMember> group = placement.group();
		long whole = group.stream().mapToLong(GroupMember::kvTokens).sum();
		List<Permit> permits = new ArrayList<>();
		for (GroupMember member : group) {
			int part = (whole > 0) ? (int) (placement.promptTokens() * member.kvTokens() / whole) : 0;
			pool.acquire(member.endpoint().name(), 0, part).ifPresent(permits::add);
		}
		List<String> holds = group.stream().map((member) -> member.endpoint().name() + "=" + member.hold()).toList();
		return new Place(group.get(0).endpoint(), permits, holds, null);
	}

}
