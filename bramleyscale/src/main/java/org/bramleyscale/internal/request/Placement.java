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
 * Where an admitted request may go, and what is held for it there.
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

	private long mentionedAt;

	private boolean mentioned;

	private Place place;

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
	 * Whether it is time to tell again that this waits; notes that it is told.
	 * @param now the time
	 * @param pause the pause between two times
	 * @return true if the pause has passed
	 */
	boolean mayMention(long now, Duration pause) {
		if (this.mentioned && now - this.mentionedAt < pause.toNanos()) {
			return false;
		}
		this.mentioned = true;
		this.mentionedAt = now;
		return true;
	}

	Optional<Place> place() {
		return Optional.ofNullable(this.place);
	}

	void placed(Place chosen) {
		this.place = chosen;
	}

	boolean reserving() {
		return this.reservation != null;
	}

	void reserving(Reservation asked) {
		this.reservation = asked;
	}

	List<GroupMember> group() {
		return this.group;
	}

	void reserved(List<GroupMember> members) {
		this.group = members;
	}

	void unplace() {
		if (this.place != null) {
			this.place.close();
			this.place = null;
		}
	}

	void release() {
		unplace();
		if (this.reservation != null) {
			this.reservation.close();
			this.reservation = null;
		}
		this.group = List.of();
	}

}
