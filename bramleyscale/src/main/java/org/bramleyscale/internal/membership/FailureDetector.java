package org.bramleyscale.internal.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Clock;

/**
 * Judges the members whose heartbeats this daemon expects.
 *
 * <p>
 * A member that isn't heard is first probed, directly and through others, since one
 * connection may be silent in one direction. Only if nobody hears it is it suspected, and
 * only if it doesn't refute that and a jury agrees is it declared dead. Invariant: no
 * verdict without silence seen here. Confined to the scheduler's thread.
 */
final class FailureDetector {

	private final MemberTable table;

	private final Inquiries inquiries;

	private final Jury jury;

	private final Clock clock;

	private final MembershipTimes times;

	private final Verdicts verdicts;

	private final Counter vouched;

	private final Counter held;

	private final Map<VmId, Watch> watches = new HashMap<>();

	FailureDetector(MemberTable table, Inquiries inquiries, Jury jury, Clock clock, MembershipTimes times,
			Verdicts verdicts, MetricRegistry metrics) {
		this.table = table;
		this.inquiries = inquiries;
		this.jury = jury;
		this.clock = clock;
		this.times = times;
		this.verdicts = verdicts;
		this.vouched = metrics.counter("membership.silent-to-this-daemon-only");
		this.held = metrics.counter("membership.verdicts-held");
	}

	/**
	 * Looks at each watched member.
	 * @param watched whom to expect heartbeats from
	 */
	void tick(Set<VmId> watched) {
		long now = this.clock.nanos();
		this.watches.keySet().retainAll(watched);
		for (VmId vm : watched) {
			Watch watch = this.watches.computeIfAbsent(vm, (key) -> new Watch(now));
			this.table.get(vm).ifPresent((entry) -> look(entry, watch, now));
		}
	}

	/**
	 * Notes that something came from a member directly.
	 * @param vm the member
	 */
	void heard(VmId vm) {
		Watch watch = this.watches.get(vm);
		if (watch != null) {
			watch.heard(this.clock.nanos());
		}
	}

	private void look(MemberEntry entry, Watch watch, long now) {
		if (watch.asking) {
			return;
		}
		if (watch.suspected && entry.health() == Health.ALIVE) {
			watch.heard(now);
		}
		if (watch.suspected && now - watch.nextStepAt >= 0) {
			ask(entry.incarnation(), watch, true);
		}
		else if (!watch.suspected && now - watch.heardAt >= this.times.silence().toNanos()) {
			ask(entry.incarnation(), watch, false);
		}
	}

	/**
	 * Asks others about a member. If this process stood still meanwhile, the answers may
	 * lie unread while the time for them is over, so the outcome means nothing.
	 * @param member the member
	 * @param watch its watch
	 * @param forVerdict whether a jury is asked rather than a few helpers
	 */
	private void ask(Incarnation member, Watch watch, boolean forVerdict) {
		watch.asking = true;
		VmId vm = member.vm();
		long askedAt = this.clock.nanos();
		this.inquiries.ask(vm, forVerdict ? this.jury.jurors(vm) : this.jury.helpers(vm), (outcome) -> {
			watch.asking = false;
			long now = this.clock.nanos();
			boolean pausedMeanwhile = now - askedAt > 2 * this.times.inquiry().toNanos();
			if (outcome.heard() || pausedMeanwhile) {
				this.vouched.inc(outcome.heard() ? 1 : 0);
				watch.heard(now);
				return;
			}
			if (this.watches.get(vm) == watch && isStill(member)) {
				condemn(member, watch, forVerdict, outcome);
			}
		});
	}

	private void condemn(Incarnation member, Watch watch, boolean forVerdict, Inquiries.Outcome outcome) {
		long now = this.clock.nanos();
		if (!forVerdict) {
			watch.suspected = true;
			watch.nextStepAt = now + this.times.suspicion().toNanos();
			this.verdicts.suspect(member);
		}
		else if (this.jury.convicts(outcome, isLeaving(member))) {
			this.verdicts.dead(member);
		}
		else {
			this.held.inc();
			watch.nextStepAt = now + this.times.silence().toNanos();
		}
	}

	private boolean isLeaving(Incarnation member) {
		return this.table.get(member.vm()).filter(MemberEntry::leaving).isPresent();
	}

	private boolean isStill(Incarnation member) {
		Optional<MemberEntry> entry = this.table.get(member.vm());
		return entry.isPresent() && entry.get().incarnation().equals(member);
	}

	/**
	 * Takes what the detector finds.
	 */
	interface Verdicts {

		void suspect(Incarnation member);

		void dead(Incarnation member);

	}

	/**
	 * One watched member.
	 */
	private static final class Watch {

		private long heardAt;

		private boolean suspected;

		private boolean asking;

		private long nextStepAt;

		private Watch(long now) {
			this.heardAt = now;
		}

		private void heard(long now) {
			this.heardAt = now;
			this.suspected = false;
		}

	}

}
