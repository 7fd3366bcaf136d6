package org.bramleyscale.internal.status;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Incarnation;
import org.bramleyscale.Ran;
import org.bramleyscale.ServiceName;
import org.bramleyscale.Step;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member;

/**
 * Builds summaries for tests: a healthy fleet of three daemons and three endpoints, to
 * which tests do harm.
 */
final class StatusSummaries {

	static final Instant NOW = Instant.parse("2026-12-01T08:00:00Z");

	static final long VERSION = 41;

	private final List<DaemonStatus> daemons = new ArrayList<>();

	private final List<EndpointStatus> endpoints = new ArrayList<>();

	private final List<QueueStatus> queues = new ArrayList<>();

	private final List<RecentFailure> failures = new ArrayList<>();

	private boolean admitting = true;

	private long version = VERSION;

	private long platformSilentMillis = 20;

	StatusSummaries() {
		daemon("entry-1", "rawang", Member.State.ALIVE, 0, VERSION);
		daemon("entry-2", "rawang", Member.State.ALIVE, 300, VERSION);
		daemon("entry-3", "semenyih", Member.State.ALIVE, 900, VERSION);
		endpoint("engine-1", "hire-assistant", EndpointStatus.State.USABLE, 60, 200);
		endpoint("engine-2", "hire-assistant", EndpointStatus.State.USABLE, 40, 200);
		endpoint("yard-1", "yard-app", EndpointStatus.State.USABLE, 0, 200);
	}

	StatusSummaries daemon(String vm, String dataCentre, Member.State state, long silentMillis, long held) {
		return daemon(vm, dataCentre, state, silentMillis, held, Optional.empty());
	}

	StatusSummaries report(String vm, boolean takesNew, int waiting, long oldestMillis) {
		DaemonReport report = new DaemonReport(takesNew, VERSION, waiting, oldestMillis);
		return daemon(vm, "semenyih", Member.State.ALIVE, 0, VERSION, Optional.of(report));
	}

	private StatusSummaries daemon(String vm, String dataCentre, Member.State state, long silentMillis, long held,
			Optional<DaemonReport> report) {
		this.daemons.removeIf((daemon) -> daemon.vm().value().equals(vm));
		this.daemons.add(new DaemonStatus(new VmId(vm), new DataCentre(dataCentre), "10.0.0.1:8080", state,
				silentMillis, held, report));
		return this;
	}

	StatusSummaries endpoint(String name, String service, EndpointStatus.State state, long kvPercent,
			long reportAgeMillis) {
		this.endpoints.removeIf((endpoint) -> endpoint.name().value().equals(name));
		this.endpoints.add(new EndpointStatus(new EndpointId(name), new ServiceName(service), new DataCentre("rawang"),
				state, 2, 1, kvPercent * 1000, 100_000, reportAgeMillis));
		return this;
	}

	StatusSummaries queue(String service, boolean urgent, int waiting, long oldestMillis) {
		this.queues.add(new QueueStatus(new ServiceName(service), urgent, waiting, oldestMillis));
		return this;
	}

	StatusSummaries failure(ErrorCode code, String peer, long secondsAgo) {
		this.failures.add(new RecentFailure(NOW.minusSeconds(secondsAgo), "entry-1~a~1", code, Ran.NO, Step.CONNECT,
				peer, "<it> failed"));
		return this;
	}

	StatusSummaries notAdmitting() {
		this.admitting = false;
		return this;
	}

	StatusSummaries withoutConfiguration() {
		this.version = 0;
		return this;
	}

	StatusSummaries platformSilent(long millis) {
		this.platformSilentMillis = millis;
		return this;
	}

	StatusSummary build() {
		return new StatusSummary(Incarnation.parse("entry-1~a"), NOW, this.admitting, this.version,
				this.platformSilentMillis, this.daemons, this.endpoints, this.queues, this.failures);
	}

}
