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
 * Detects failures of the members whose heartbeats this daemon expects.
 *
 * <p>
 * A member whose heartbeats are missing is first probed, directly and through other
 * daemons, since a connection may lose messages in one direction only. It is suspected
 * only if none of them reaches it, and declared dead only if it doesn't refute the
 * suspicion and a quorum confirms it. Invariant: no member is suspected or declared dead
 * unless this daemon itself has missed its heartbeats. Confined to the scheduler's
 * thread.
 */
final class FailureDetector {

	private final MemberTable table;

	private final Inquiries inquiries;

	private final DeathQuorum quorum;

	private final Clock clock;

	private final MembershipTimes times;

	private final Listener listener;

	private final Counter foundReachable;

	private final Counter unconfirmed;

	private final Map<VmId, Monitor> monitors = new HashMap<>();

	FailureDetector(MemberTable table, Inquiries inquiries, DeathQuorum quorum, Clock clock, MembershipTimes times,
			Listener listener, MetricRegistry metrics) {
		this.table = table;
		this.inquiries = inquiries;
		this.quorum = quorum;
		this.clock = clock;
		this.times = times;
		this.listener = listener;
		this.foundReachable = metrics.counter("membership.silent-to-this-daemon-only");
		this.unconfirmed = metrics.counter("membership.verdicts-held");
	}

	/**
	 * Checks each monitored member.
	 * @param monitored the members from which heartbeats are expected
	 */
	void tick(Set<VmId> monitored) {
		long now = this.clock.nanos();
		this.monitors.keySet().retainAll(monitored);
		for (VmId vm : monitored) {
			Monitor monitor = this.monitors.computeIfAbsent(vm, (key) -> new Monitor(now));
			this.table.get(vm).ifPresent((entry) -> check(entry, monitor, now));
		}
	}

	/**
	 * Records that a message was received directly from a member.
	 * @param vm the member's VM
	 */
	void recordContact(VmId vm) {
		Monitor monitor = this.monitors.get(vm);
		if (monitor != null) {
			monitor.recordContact(this.clock.nanos());
		}
	}

	private void check(MemberEntry entry, Monitor monitor, long now) {
		if (monitor.inquiryPending) {
			return;
		}
		if (monitor.suspected && entry.health() == Health.ALIVE) {
			monitor.recordContact(now);
		}
		if (monitor.suspected && now - monitor.nextStepAt >= 0) {
			inquire(entry.incarnation(), monitor, true);
		}
		else if (!monitor.suspected && now - monitor.lastContactAt >= this.times.heartbeatTimeout().toNanos()) {
			inquire(entry.incarnation(), monitor, false);
		}
	}

	/**
	 * Starts an inquiry about a member. If this process was paused meanwhile, an outcome
	 * without contact is ignored: answers may then be waiting unread although the
	 * time-out has elapsed.
	 * @param member the member
	 * @param monitor its monitoring state
	 * @param confirming whether to ask the quorum that confirms a death rather than a few
	 * helpers
	 */
	private void inquire(Incarnation member, Monitor monitor, boolean confirming) {
		monitor.inquiryPending = true;
		VmId vm = member.vm();
		long startedAt = this.clock.nanos();
		this.inquiries.start(vm, confirming ? this.quorum.voters(vm) : this.quorum.helpers(vm), (outcome) -> {
			monitor.inquiryPending = false;
			long now = this.clock.nanos();
			boolean paused = now - startedAt > 2 * this.times.inquiryTimeout().toNanos();
			if (outcome.reachable() || paused) {
				this.foundReachable.inc(outcome.reachable() ? 1 : 0);
				monitor.recordContact(now);
				return;
			}
			if (this.monitors.get(vm) == monitor && isCurrent(member)) {
				handleUnreachable(member, monitor, confirming, outcome);
			}
		});
	}

	private void handleUnreachable(Incarnation member, Monitor monitor, boolean confirming, Inquiries.Outcome outcome) {
		long now = this.clock.nanos();
		if (!confirming) {
			monitor.suspected = true;
			monitor.nextStepAt = now + this.times.suspicionTimeout().toNanos();
			this.listener.suspect(member);
		}
		else if (this.quorum.confirmsDeath(outcome, isLeaving(member))) {
			this.listener.declareDead(member);
		}
		else {
			this.unconfirmed.inc();
			monitor.nextStepAt = now + this.times.heartbeatTimeout().toNanos();
		}
	}

	private boolean isLeaving(Incarnation member) {
		return this.table.get(member.vm()).filter(MemberEntry::leaving).isPresent();
	}

	private boolean isCurrent(Incarnation member) {
		Optional<MemberEntry> entry = this.table.get(member.vm());
		return entry.isPresent() && entry.get().incarnation().equals(member);
	}

	/**
	 * Receives the decisions of the detector.
	 */
	interface Listener {

		void suspect(Incarnation member);

		void declareDead(Incarnation member);

	}

	/**
	 * The monitoring state of one member.
	 */
	private static final class Monitor {

		private long lastContactAt;

		private boolean suspected;

		private boolean inquiryPending;

		private long nextStepAt;

		private Monitor(long now) {
			this.lastContactAt = now;
		}

		private void recordContact(long now) {
			this.lastContactAt = now;
			this.suspected = false;
		}

	}

}
