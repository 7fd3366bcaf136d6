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
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.HoldersView;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.status.DaemonStatus;
import org.bramleyscale.internal.status.EndpointStatus;
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

	StatusSummary summary() {
		Configuration current = this.node.configuration().current();
		boolean admitting = this.node.configuration().fresh()
				&& this.node.leavePlan().phase().compareTo(LeavePlan.Phase.REFUSING) < 0;
		return new StatusSummary(this.node.membership().self(), this.node.scheduler().wallTime(), admitting,
				current.version(), this.node.platformSilence().toMillis(), daemons(current), endpoints(current),
				List.of(), this.node.failures().latest());
	}

	private List<DaemonStatus> daemons(Configuration current) {
		Map<VmId, HoldersView.Holder> holders = new HashMap<>();
		this.node.configuration().holders().holders().forEach((holder) -> holders.put(holder.vm(), holder));
		VmId self = this.node.membership().self().vm();
		return this.node.membership().members().stream().map((member) -> {
			boolean own = member.vm().equals(self);
			Optional<HoldersView.Holder> holder = Optional.ofNullable(holders.get(member.vm()));
			long version = own ? current.version() : holder.map(HoldersView.Holder::version).orElse(0L);
			return daemon(member, own ? 0 : silence(member, holder), version);
		}).toList();
	}

	// Heartbeats judge whether a daemon is silent; the configuration slice says for how
	// long.
	private static long silence(Member member, Optional<HoldersView.Holder> holder) {
		boolean answers = member.state() == Member.State.ALIVE || member.state() == Member.State.LEAVING;
		return answers ? 0 : holder.map((known) -> known.heardAgo().toMillis()).orElse(0L);
	}

	private static DaemonStatus daemon(Member member, long silentMillis, long version) {
		return new DaemonStatus(member.vm(), member.dataCentre(), member.httpAddress(), member.state(), silentMillis,
				version);
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
