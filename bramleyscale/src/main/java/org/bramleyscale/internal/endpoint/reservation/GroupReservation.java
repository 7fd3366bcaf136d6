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
 * One reservation's progress through the engines of its group.
 *
 * <p>
 * Invariants: engines are asked one after the other in the order of their names, each
 * only when all before it hold; so of any set of reservations that wait for each other,
 * the one that waits for the greatest name waits for nobody in the set, and there is no
 * deadlock. A hold's id is never used for a second round. Confined to the scheduler's
 * thread.
 */
final class GroupReservation {

	private final RequestId request;

	private final List<Step> steps = new ArrayList<>();

	private final Set<EndpointId> avoided = new HashSet<>();

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

	Set<EndpointId> avoided() {
		return this.avoided;
	}

	/**
	 * Begins a round.
	 * @param parts the engines in their order
	 */
	void plan(List<GroupPlan.Part> parts) {
		this.round++;
		this.steps.clear();
		for (GroupPlan.Part part : parts) {
			// A hold's id is part of a URL's path. A slash in it would name another path,
			// and
			// the engine would refuse every hold and every release.
			this.steps.add(new Step(part, this.request + "." + this.round));
		}
	}

	/**
	 * The engine to be asked now.
	 * @return the first that doesn't hold yet
	 */
	Optional<HeldMemory> next() {
		return this.steps.stream().filter((step) -> !step.held).findFirst().map(Step::memory);
	}

	/**
	 * Notes that an engine holds.
	 * @param endpoint the engine
	 * @param hold the hold's id
	 * @param now the time
	 * @return true if this hold belongs to the present round and was still awaited
	 */
	boolean reserved(EndpointId endpoint, String hold, long now) {
		Optional<Step> step = find(endpoint, hold).filter((found) -> !found.held);
		step.ifPresent((found) -> {
			found.held = true;
			found.confirmedAt = now;
		});
		this.complete = planned() && this.steps.stream().allMatch((each) -> each.held);
		return step.isPresent();
	}

	/**
	 * Notes that an engine doesn't hold.
	 * @param refused the refusal
	 * @return true if it concerns the present round
	 */
	boolean refused(Refused refused) {
		Optional<Step> step = find(refused.endpoint(), refused.hold());
		if (step.isEmpty()) {
			return false;
		}
		this.steps.remove(step.get());
		if (!this.complete && refused.reason() != Refused.Reason.LOST) {
			this.avoided.add(refused.endpoint());
		}
		return true;
	}

	void renewed(String hold, long now) {
		for (Step step : this.steps) {
			if (step.hold.equals(hold)) {
				step.confirmedAt = now;
			}
		}
	}

	/**
	 * What engines hold.
	 * @return the holds
	 */
	List<HeldMemory> held() {
		return this.steps.stream().filter((step) -> step.held).map(Step::memory).toList();
	}

	/**
	 * Holds that no owner has confirmed for some time and that must be renewed at the
	 * engine itself. Each is returned once a span.
	 * @param now the time
	 * @param span the time in nanoseconds
	 * @return the holds with their engines
	 */
	List<Reservations.GroupMember> unconfirmed(long now, long span) {
		List<Reservations.GroupMember> result = new ArrayList<>();
		for (Step step : this.steps) {
			if (step.held && now - step.confirmedAt > span) {
				step.confirmedAt = now;
				result.add(step.member());
			}
		}
		return result;
	}

	/**
	 * The engines of the present round, held or not.
	 * @return their names
	 */
	List<EndpointId> engines() {
		return this.steps.stream().map((step) -> step.part.entry().name()).toList();
	}

	List<Reservations.GroupMember> members() {
		return this.steps.stream().map(Step::member).toList();
	}

	/**
	 * Everything asked for in the present round, held or not; the round is over.
	 * @return what must be released
	 */
	List<HeldMemory> giveUp() {
		List<HeldMemory> asked = new ArrayList<>(held());
		next().ifPresent(asked::add);
		this.steps.clear();
		this.complete = false;
		return asked;
	}

	void close() {
		this.closed = true;
	}

	private Optional<Step> find(EndpointId endpoint, String hold) {
		return this.steps.stream()
			.filter((step) -> step.part.entry().name().equals(endpoint) && step.hold.equals(hold))
			.findFirst();
	}

	private static final class Step {

		private final GroupPlan.Part part;

		private final String hold;

		private boolean held;

		private long confirmedAt;

		private Step(GroupPlan.Part part, String hold) {
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
