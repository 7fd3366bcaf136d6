package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.endpoint.Reservations.GroupMember;
import org.bramleyscale.internal.endpoint.Reservations.Reservation;
import org.bramleyscale.internal.routing.RoutingRequest;

/**
 * The resource needs of an admitted request, the endpoints excluded for it, and the
 * permits and the reservation held for it.
 *
 * <p>
 * Invariant: after {@link #release()} neither a permit nor a reservation is held. Not
 * safe for use by multiple threads.
 */
final class Placement {

	private final int promptTokens;

	private final int maxTokens;

	private final long prefix;

	private final int prefixTokens;

	private final boolean urgent;

	private final Set<EndpointId> excluded = new HashSet<>();

	private long capacityRequestedAt;

	private boolean capacityRequested;

	private Assignment assignment;

	private Reservation reservation;

	private List<GroupMember> group = List.of();

	Placement(int promptTokens, int maxTokens, long prefix, int prefixTokens, boolean urgent) {
		this.promptTokens = promptTokens;
		this.maxTokens = maxTokens;
		this.prefix = prefix;
		this.prefixTokens = prefixTokens;
		this.urgent = urgent;
	}

	int promptTokens() {
		return this.promptTokens;
	}

	int maxTokens() {
		return this.maxTokens;
	}

	long kvTokens() {
		return (long) this.promptTokens + this.maxTokens;
	}

	boolean urgent() {
		return this.urgent;
	}

	RoutingRequest routingRequest(long timeLeftNanos) {
		return new RoutingRequest(this.promptTokens, this.maxTokens, this.prefix, this.prefixTokens, this.urgent,
				timeLeftNanos);
	}

	Set<EndpointId> excluded() {
		return this.excluded;
	}

	void exclude(EndpointId endpoint) {
		this.excluded.add(endpoint);
	}

	/**
	 * Whether capacity should be requested again for this waiting request. If so, records
	 * the time of the request.
	 * @param now the current time in nanoseconds
	 * @param interval the minimum time between two requests for capacity
	 * @return true if the interval has elapsed
	 */
	boolean shouldRequestCapacity(long now, Duration interval) {
		if (this.capacityRequested && now - this.capacityRequestedAt < interval.toNanos()) {
			return false;
		}
		this.capacityRequested = true;
		this.capacityRequestedAt = now;
		return true;
	}

	Optional<Assignment> assignment() {
		return Optional.ofNullable(this.assignment);
	}

	void assign(Assignment chosen) {
		this.assignment = chosen;
	}

	boolean reserving() {
		return this.reservation != null;
	}

	void reserving(Reservation requested) {
		this.reservation = requested;
	}

	List<GroupMember> group() {
		return this.group;
	}

	void reserved(List<GroupMember> members) {
		this.group = members;
	}

	void unassign() {
		if (this.assignment != null) {
			this.assignment.close();
			this.assignment = null;
		}
	}

	void release() {
		unassign();
		if (this.reservation != null) {
			this.reservation.close();
			this.reservation = null;
		}
		this.group = List.of();
	}

}
