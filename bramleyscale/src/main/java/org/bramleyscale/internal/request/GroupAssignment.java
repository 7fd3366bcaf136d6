package org.bramleyscale.internal.request;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.internal.endpoint.EndpointPool;
import org.bramleyscale.internal.endpoint.Permit;
import org.bramleyscale.internal.endpoint.Reservations.GroupMember;

/**
 * Creates the assignment of a request that runs on a reserved group of engines.
 * Stateless.
 */
final class GroupAssignment {

	private GroupAssignment() {
	}

	/**
	 * Assigns a request to its group.
	 * @param placement the request's placement, with a group
	 * @param pool the pool that issues the permits. The permits only make the prompt's
	 * work visible to routing. The memory is held by the reservation, so a permit that
	 * can't be acquired is ignored
	 * @return the assignment
	 */
	static Assignment of(Placement placement, EndpointPool pool) {
		List<GroupMember> group = placement.group();
		long totalKvTokens = group.stream().mapToLong(GroupMember::kvTokens).sum();
		List<Permit> permits = new ArrayList<>();
		for (GroupMember member : group) {
			int share = (totalKvTokens > 0) ? (int) (placement.promptTokens() * member.kvTokens() / totalKvTokens) : 0;
			pool.acquire(member.endpoint().name(), 0, share).ifPresent(permits::add);
		}
		List<String> holds = group.stream().map((member) -> member.endpoint().name() + "=" + member.hold()).toList();
		return new Assignment(group.get(0).endpoint(), permits, holds, null);
	}

}
