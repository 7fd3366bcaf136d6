package org.bramleyscale.internal.node;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.status.DaemonReport;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Asks other daemons for their reports when a status is asked for, and answers them.
 *
 * <p>
 * Costs nothing while nobody looks. Invariants: an inquiry ends within
 * {@link #TIME_LIMIT} with what came; at most one starts in {@link #KEEP}, so that many
 * viewers cost no more than one. Confined to the scheduler's thread.
 */
final class DaemonReports {

	/** How long an inquiry may take. */
	static final Duration TIME_LIMIT = Duration.ofSeconds(1);

	/** How long an outcome serves further viewers. */
	static final Duration KEEP = Duration.ofSeconds(2);

	/** How many daemons are asked; the page shows no more. */
	static final int MOST_ASKED = 100;

	private final Scheduler scheduler;

	private final MembershipView membership;

	private final PeerNetwork network;

	private final Supplier<DaemonReport> own;

	private Inquiry latest;

	private long lastId;

	DaemonReports(Scheduler scheduler, MembershipView membership, PeerNetwork network, Supplier<DaemonReport> own) {
		this.scheduler = scheduler;
		this.membership = membership;
		this.network = network;
		this.own = own;
		network.listen(ReportWanted.class, this::wanted);
		network.listen(ReportGiven.class, this::given);
	}

	/**
	 * Collects reports.
	 * @return completes with the reports of those who answered in time, this daemon not
	 * included
	 */
	CompletableFuture<Map<VmId, DaemonReport>> collect() {
		if (this.latest == null || this.scheduler.nanos() - this.latest.startedAt >= KEEP.toNanos()) {
			this.latest = new Inquiry(++this.lastId, this.scheduler.nanos());
			ask(this.latest);
		}
		return this.latest.outcome.copy();
	}

	private void ask(Inquiry inquiry) {
		ReportWanted message = new ReportWanted(inquiry.id);
		targets().stream().filter((target) -> this.network.send(target, message)).forEach(inquiry.open::add);
		inquiry.endIfComplete();
		this.scheduler.schedule(TIME_LIMIT, inquiry::end);
	}

	private List<VmId> targets() {
		VmId self = this.membership.self().vm();
		return this.membership.members()
			.stream()
			.filter((member) -> member.state() != Member.State.DEAD)
			.map(Member::vm)
			.filter((vm) -> !vm.equals(self))
			.limit(MOST_ASKED)
			.toList();
	}

	private void wanted(Incarnation from, ReportWanted message) {
		this.network.send(from.vm(), new ReportGiven(message.inquiry(), this.own.get()));
	}

	private void given(Incarnation from, ReportGiven message) {
		if (this.latest != null && this.latest.id == message.inquiry()) {
			this.latest.take(from.vm(), message.report());
		}
	}

	/**
	 * One round of questions.
	 */
	private static final class Inquiry {

		private final long id;

		private final long startedAt;

		private final Set<VmId> open = new HashSet<>();

		private final Map<VmId, DaemonReport> reports = new HashMap<>();

		private final CompletableFuture<Map<VmId, DaemonReport>> outcome = new CompletableFuture<>();

		private Inquiry(long id, long startedAt) {
			this.id = id;
			this.startedAt = startedAt;
		}

		private void take(VmId from, DaemonReport report) {
			if (this.open.remove(from)) {
				this.reports.put(from, report);
				endIfComplete();
			}
		}

		private void endIfComplete() {
			if (this.open.isEmpty()) {
				end();
			}
		}

		private void end() {
			this.outcome.complete(Map.copyOf(this.reports));
		}

	}

}
