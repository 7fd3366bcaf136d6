package org.bramleyscale.internal.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.address.LeavePlan;
import org.bramleyscale.internal.admission.WaitingWork;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.HoldersView;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MemberHistory;
import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.status.DaemonReport;
import org.bramleyscale.internal.status.DaemonStatus;
import org.bramleyscale.internal.status.EndpointStatus;
import org.bramleyscale.internal.status.QueueStatus;
import org.bramleyscale.internal.status.StatusSummary;

/**
 * Gathers the status from this daemon's slices.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class NodeStatus {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long NEVER = -1;

	private final NodeSlices node;

	NodeStatus(NodeSlices node) {
		this.node = node;
	}

	/**
	 * The status.
	 * @param reports what other daemons say about themselves
	 * @return the summary
	 */
	StatusSummary summary(Map<VmId, DaemonReport> reports) {
		Configuration current = this.node.configuration().current();
		return new StatusSummary(this.node.membership().self(), this.node.scheduler().wallTime(), admitting(),
				current.version(), this.node.platformSilence().toMillis(), daemons(current, reports),
				endpoints(current), queues(), this.node.failures().latest());
	}

	/**
	 * What this daemon says about itself to others.
	 * @return the report
	 */
	DaemonReport report() {
		List<WaitingWork> work = this.node.admission().waitingWork();
		long oldest = work.stream().mapToLong((line) -> line.oldest().toMillis()).max().orElse(0);
		int waiting = work.stream().mapToInt(WaitingWork::requests).sum();
		return new DaemonReport(admitting(), this.node.configuration().current().version(), waiting, oldest);
	}

	private boolean admitting() {
		return this.node.configuration().fresh()
				&& this.node.leavePlan().phase().compareTo(LeavePlan.Phase.REFUSING) < 0;
	}

	private List<QueueStatus> queues() {
		return this.node.admission()
			.waitingWork()
			.stream()
			.map((line) -> new QueueStatus(line.service(), line.urgent(), line.requests(), line.oldest().toMillis()))
			.toList();
	}

	private List<DaemonStatus> daemons(Configuration current, Map<VmId, DaemonReport> reports) {
		Map<VmId, HoldersView.Holder> holders = new HashMap<>();
		this.node.configuration().holders().holders().forEach((holder) -> holders.put(holder.vm(), holder));
		Map<VmId, DaemonReport> all = new HashMap<>(reports);
		all.put(this.node.membership().self().vm(), report());
		MemberHistory history = this.node.membership().history();
		return this.node.membership()
			.members()
			.stream()
			.filter((member) -> !history.endedAfterPlannedStop(member.vm()))
			.map((member) -> daemon(member, Optional.ofNullable(all.get(member.vm())),
					Optional.ofNullable(holders.get(member.vm()))))
			.toList();
	}

	private DaemonStatus daemon(Member member, Optional<DaemonReport> report, Optional<HoldersView.Holder> holder) {
		long unresponsiveMillis = this.node.membership().history().unresponsiveFor(member.vm()).toMillis();
		long version = report.map(DaemonReport::version).or(() -> holder.map(HoldersView.Holder::version)).orElse(0L);
		return new DaemonStatus(member.vm(), member.dataCentre(), member.httpAddress(), member.state(),
				unresponsiveMillis, version, report);
	}

	private List<EndpointStatus> endpoints(Configuration current) {
		List<EndpointStatus> all = new ArrayList<>();
		for (ServiceEntry service : current.register().services()) {
			Map<EndpointId, Candidate> usable = usable(current, service.name());
			for (EndpointEntry endpoint : current.endpoints(service.name())) {
				all.add(endpoint(endpoint, Optional.ofNullable(usable.get(endpoint.name()))));
			}
		}
		return all;
	}

	private Map<EndpointId, Candidate> usable(Configuration current, ServiceName service) {
		Map<EndpointId, Candidate> usable = new HashMap<>();
		for (EndpointEntry endpoint : current.endpoints(service)) {
			if (!usable.containsKey(endpoint.name())) {
				ModelName model = endpoint.models().isEmpty() ? null : endpoint.models().get(0);
				this.node.pool()
					.candidates(service, model)
					.forEach((candidate) -> usable.put(candidate.endpoint(), candidate));
			}
		}
		return usable;
	}

	private EndpointStatus endpoint(EndpointEntry entry, Optional<Candidate> usable) {
		Optional<LoadReport> report = this.node.pool().report(entry.name());
		long age = usable.map(Candidate::reportAgeNanos).filter((nanos) -> nanos >= 0).orElse(NEVER);
		return new EndpointStatus(entry.name(), entry.service(), entry.dataCentre(),
				state(entry, report, usable.isPresent()), report.map(LoadReport::running).orElse(0),
				report.map(LoadReport::waiting).orElse(0), report.map(LoadReport::kvUsed).orElse(0L),
				report.map(LoadReport::kvCapacity).orElse(0L), (age < 0) ? NEVER : age / NANOS_PER_MILLI);
	}

	private static EndpointStatus.State state(EndpointEntry entry, Optional<LoadReport> report, boolean usable) {
		if (entry.leaving() || report.map(LoadReport::leaving).orElse(false)) {
			return EndpointStatus.State.LEAVING;
		}
		if (usable) {
			return EndpointStatus.State.USABLE;
		}
		return report.isPresent() ? EndpointStatus.State.EJECTED : EndpointStatus.State.SILENT;
	}

}
