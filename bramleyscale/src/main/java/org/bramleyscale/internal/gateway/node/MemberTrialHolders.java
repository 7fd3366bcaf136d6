package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.Optional;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.gateway.crash.TrialHolders;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.time.Clock;

/**
 * Tells by membership which daemons may still make trials. Confined to the scheduler's
 * thread.
 */
final class MemberTrialHolders implements TrialHolders {

	/** Time after a start within which a daemon learns which others run. */
	static final Duration DISCOVERY_TIME = Duration.ofSeconds(3);

	private final Clock clock;

	private final MembershipView membership;

	private final Incarnation self;

	private final long startedAt;

	MemberTrialHolders(Clock clock, MembershipView membership, Incarnation self) {
		this.clock = clock;
		this.membership = membership;
		this.self = self;
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
			return discovered ? State.UNKNOWN : State.MAY_RUN;
		}
		boolean laterStart = !member.get().incarnation().equals(holder);
		return (laterStart || member.get().state() == Member.State.DEAD) ? State.ENDED : State.MAY_RUN;
	}

}
