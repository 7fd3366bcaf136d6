package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.gateway.crash.TrialHolders;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.time.Clock;

/**
 * Tells by membership which daemons may still make trials.
 *
 * <p>
 * Invariants: a start that is later than the one that membership knows may run; in a
 * large fleet, whose daemons don't know each other all, so may one that nobody has heard
 * of. Confined to the scheduler's thread.
 */
final class MemberTrialHolders implements TrialHolders {

	/** Time after a start within which a daemon learns which others run. */
	static final Duration DISCOVERY_TIME = Duration.ofSeconds(3);

	private final Clock clock;

	private final MembershipView membership;

	private final Incarnation self;

	private final BooleanSupplier knowsAll;

	private final long startedAt;

	/**
	 * Creates the view of a daemon that has just started.
	 * @param clock the daemon's clock
	 * @param membership the daemons that it knows
	 * @param self its start
	 * @param knowsAll whether the fleet is so small that it gets to know all daemons
	 */
	MemberTrialHolders(Clock clock, MembershipView membership, Incarnation self, BooleanSupplier knowsAll) {
		this.clock = clock;
		this.membership = membership;
		this.self = self;
		this.knowsAll = knowsAll;
		this.startedAt = clock.nanos();
	}

	@Override
	public Incarnation self() {
		return this.self;
	}

	@Override
	public State state(Incarnation holder) {
		if (holder.vm().equals(this.self.vm())) {
			return holder.equals(this.self) ? State.MAY_RUN : State.ENDED;
		}
		Optional<Member> member = this.membership.member(holder.vm());
		if (member.isEmpty()) {
			boolean discovered = this.clock.nanos() - this.startedAt >= DISCOVERY_TIME.toNanos();
			return (discovered && this.knowsAll.getAsBoolean()) ? State.UNKNOWN : State.MAY_RUN;
		}
		long known = member.get().incarnation().start();
		boolean dead = known == holder.start() && member.get().state() == Member.State.DEAD;
		return (known > holder.start() || dead) ? State.ENDED : State.MAY_RUN;
	}

}
