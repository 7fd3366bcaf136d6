package org.bramleyscale.internal.endpoint.reservation;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.EndpointId;
import org.bramleyscale.RequestId;
import org.bramleyscale.internal.endpoint.HeldMemory;
import org.bramleyscale.internal.endpoint.Refused;
import org.bramleyscale.internal.endpoint.Reservations;

/**
 * Tracks one reservation's progress through the engines of its group.
 *
 * <p>
 * Invariants: engines are asked one at a time in the order of their names, each only
 * after all engines before it have placed their holds. In any set of reservations that
 * wait for each other, the one that waits for the engine with the greatest name does not
 * wait for any other in the set, so there is no deadlock. A hold's id is never reused in
 * another round. Confined to the scheduler's thread.
 */
final class GroupReservation {

	private final RequestId request;

	private final List<HoldStep> steps = new ArrayList<>();

	private final Set<EndpointId> excluded = new HashSet<>();

	private int round;

	private boolean closed;

	private boolean complete;

	GroupReservation(RequestId request) {
		this.request = request;
	}

	boolean closed() {
		return this.closed;
	}

	boolean complete() {
		return this.complete;
	}

	boolean planned() {
		return !this.steps.isEmpty();
	}

	Set<EndpointId> excluded() {
		return this.excluded;
	}

	/**
	 * Starts a round.
	 * @param parts the parts, ordered by the engines' names
	 */
	void plan(List<GroupPlan.Part> parts) {
		this.round++;
		this.steps.clear();
		for (GroupPlan.Part part : parts) {
			// A hold's id is a segment of a URL path. A slash in it would address another
			// path, and the engine would refuse every hold and every release.
			this.steps.add(new HoldStep(part, this.request + "." + this.round));
		}
	}

	/**
	 * Returns the hold to request next.
	 * @return the first hold that is not placed yet, or empty if there is none
	 */
	Optional<HeldMemory> next() {
		return this.steps.stream().filter((step) -> !step.held).findFirst().map(HoldStep::memory);
	}

	/**
	 * Records that an engine has placed a hold.
	 * @param endpoint the engine
	 * @param hold the hold's id
	 * @param now the time
	 * @return true if this hold belongs to the current round and was not placed before
	 */
	boolean reserved(EndpointId endpoint, String hold, long now) {
		Optional<HoldStep> step = find(endpoint, hold).filter((found) -> !found.held);
		step.ifPresent((found) -> {
			found.held = true;
			found.confirmedAt = now;
		});
		this.complete = planned() && this.steps.stream().allMatch((each) -> each.held);
		return step.isPresent();
	}

	/**
	 * Records that an engine does not hold the memory.
	 * @param refused the refusal
	 * @return true if it concerns the current round
	 */
	boolean refused(Refused refused) {
		Optional<HoldStep> step = find(refused.endpoint(), refused.hold());
		if (step.isEmpty()) {
			return false;
		}
		this.steps.remove(step.get());
		if (!this.complete && refused.reason() != Refused.Reason.LOST) {
			this.excluded.add(refused.endpoint());
		}
		return true;
	}

	void renewed(String hold, long now) {
		for (HoldStep step : this.steps) {
			if (step.hold.equals(hold)) {
				step.confirmedAt = now;
			}
		}
	}

	/**
	 * Returns the holds that are placed.
	 * @return the holds
	 */
	List<HeldMemory> held() {
		return this.steps.stream().filter((step) -> step.held).map(HoldStep::memory).toList();
	}

	/**
	 * Returns the holds that no owner has confirmed for some time and that must be
	 * renewed at the engine itself. Each hold is returned once per interval.
	 * @param now the time
	 * @param interval the interval in nanoseconds
	 * @return the holds with their engines
	 */
	List<Reservations.GroupMember> unconfirmed(long now, long interval) {
		List<Reservations.GroupMember> result = new ArrayList<>();
		for (HoldStep step : this.steps) {
			if (step.held && now - step.confirmedAt > interval) {
				step.confirmedAt = now;
				result.add(step.member());
			}
		}
		return result;
	}

	/**
	 * Returns the engines of the current round, whether or not their holds are placed.
	 * @return their names
	 */
	List<EndpointId> engines() {
		return this.steps.stream().map((step) -> step.part.entry().name()).toList();
	}

	List<Reservations.GroupMember> members() {
		return this.steps.stream().map(HoldStep::member).toList();
	}

	/**
	 * Ends the current round and returns all its holds that were requested, placed or
	 * not.
	 * @return the holds to release
	 */
	List<HeldMemory> abortRound() {
		List<HeldMemory> requested = new ArrayList<>(held());
		next().ifPresent(requested::add);
		this.steps.clear();
		this.complete = false;
		return requested;
	}

	void close() {
		this.closed = true;
	}

	private Optional<HoldStep> find(EndpointId endpoint, String hold) {
		return this.steps.stream()
			.filter((step) -> step.part.entry().name().equals(endpoint) && step.hold.equals(hold))
			.findFirst();
	}

	private static final class HoldStep {

		private final GroupPlan.Part part;

		private final String hold;

		private boolean held;

		private long confirmedAt;

		private HoldStep(GroupPlan.Part part, String hold) {
			this.part = part;
			this.hold = hold;
		}

		private HeldMemory memory() {
			return new HeldMemory(this.part.entry().name(), this.hold, this.part.kvTokens());
		}

		private Reservations.GroupMember member() {
			return new Reservations.GroupMember(this.part.entry(), this.hold, this.part.kvTokens());
		}

	}

}
