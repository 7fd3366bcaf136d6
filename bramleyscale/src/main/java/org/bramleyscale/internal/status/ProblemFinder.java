package org.bramleyscale.internal.status;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.bramleyscale.DataCentre;
import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.status.StatusProblem.Severity;

/**
 * Says in plain sentences what is wrong in a status summary.
 *
 * <p>
 * The same summary always gives the same sentences in the same order. Immutable and safe
 * for use by multiple threads.
 */
public final class ProblemFinder {

	private static final int PERCENT = 100;

	private final ProblemThresholds thresholds;

	public ProblemFinder(ProblemThresholds thresholds) {
		this.thresholds = thresholds;
	}

	/**
	 * Finds the problems.
	 * @param summary the summary
	 * @return the problems, the most severe first; empty if all is well
	 */
	public List<StatusProblem> find(StatusSummary summary) {
		List<StatusProblem> problems = new ArrayList<>();
		admission(summary, problems);
		platform(summary, problems);
		daemons(summary, problems);
		versions(summary, problems);
		services(summary, problems);
		evacuations(summary, problems);
		endpoints(summary, problems);
		queues(summary, problems);
		failures(summary, problems);
		problems.sort(Comparator.comparing(StatusProblem::severity));
		return problems;
	}

	private void admission(StatusSummary summary, List<StatusProblem> problems) {
		if (summary.version() == 0) {
			add(problems, Severity.URGENT, "No configuration is in force: apply a register and rules");
		}
		else if (!summary.admitting()) {
			add(problems, Severity.URGENT, summary.daemon().vm() + " takes no new requests, "
					+ "because it is leaving or can't tell whether its configuration is in force");
		}
	}

	private void platform(StatusSummary summary, List<StatusProblem> problems) {
		if (over(summary.platformSilentMillis(), this.thresholds.platformSilence())) {
			add(problems, Severity.WARNING, "The platform has not answered for "
					+ seconds(summary.platformSilentMillis()) + ": changes can't be accepted, traffic goes on");
		}
	}

	private void daemons(StatusSummary summary, List<StatusProblem> problems) {
		Map<DataCentre, List<DaemonStatus>> byDataCentre = summary.daemons()
			.stream()
			.collect(Collectors.groupingBy(DaemonStatus::dataCentre,
					() -> new TreeMap<>(Comparator.comparing(DataCentre::value)), Collectors.toList()));
		byDataCentre.forEach((dataCentre, daemons) -> dataCentre(dataCentre, daemons, summary, problems));
	}

	private void dataCentre(DataCentre dataCentre, List<DaemonStatus> daemons, StatusSummary summary,
			List<StatusProblem> problems) {
		if (daemons.size() > 1 && daemons.stream().allMatch(this::silent)) {
			add(problems, Severity.URGENT, "No daemon in " + dataCentre + " answers (" + daemons.size() + " daemons)");
			return;
		}
		for (DaemonStatus daemon : daemons) {
			if (daemon.state() == Member.State.LEAVING) {
				add(problems, Severity.NOTICE, daemon.vm() + " is leaving: it finishes what it has" + unheard(daemon));
			}
			else if (silent(daemon)) {
				add(problems, Severity.WARNING,
						daemon.vm() + " has not answered for " + seconds(daemon.silentMillis()));
			}
			else if (!daemon.vm().equals(summary.daemon().vm())) {
				daemon.report().ifPresent((report) -> report(daemon, report, problems));
			}
		}
	}

	private void report(DaemonStatus daemon, DaemonReport report, List<StatusProblem> problems) {
		if (!report.admitting()) {
			add(problems, Severity.WARNING, daemon.vm() + " says that it takes no new requests");
		}
		if (report.waiting() > 0 && over(report.oldestMillis(), this.thresholds.queueAge())) {
			add(problems, Severity.WARNING, requestsWait(report.waiting()) + "at " + daemon.vm() + ", the oldest for "
					+ seconds(report.oldestMillis()));
		}
	}

	private String unheard(DaemonStatus daemon) {
		return silent(daemon) ? "; it has not answered for " + seconds(daemon.silentMillis()) : "";
	}

	private void versions(StatusSummary summary, List<StatusProblem> problems) {
		List<DaemonStatus> expected = summary.daemons()
			.stream()
			.filter((daemon) -> daemon.state() != Member.State.DEAD)
			.toList();
		long newest = expected.stream().mapToLong(DaemonStatus::version).max().orElse(0);
		List<String> behind = expected.stream()
			.filter((daemon) -> daemon.version() < newest)
			.map((daemon) -> daemon.vm() + " holds " + versionWord(daemon.version()))
			.toList();
		if (!behind.isEmpty()) {
			add(problems, Severity.WARNING,
					"Configuration " + newest + " is held by " + (expected.size() - behind.size()) + " of "
							+ expected.size() + " daemons; " + String.join(", ", behind));
		}
	}

	private void services(StatusSummary summary, List<StatusProblem> problems) {
		Map<ServiceName, List<EndpointStatus>> byService = summary.endpoints()
			.stream()
			.collect(Collectors.groupingBy(EndpointStatus::service,
					() -> new TreeMap<>(Comparator.comparing(ServiceName::value)), Collectors.toList()));
		byService.forEach((service, endpoints) -> {
			if (endpoints.stream().noneMatch((endpoint) -> endpoint.state() == EndpointStatus.State.USABLE)) {
				add(problems, Severity.URGENT, "No endpoint of " + service + " can be used (" + endpoints.size()
						+ " in the register): its requests are refused or wait");
			}
		});
	}

	private void evacuations(StatusSummary summary, List<StatusProblem> problems) {
		Map<String, Long> evacuated = summary.endpoints()
			.stream()
			.filter((endpoint) -> endpoint.state() == EndpointStatus.State.EVACUATED)
			.collect(Collectors.groupingBy((endpoint) -> endpoint.dataCentre().value(), TreeMap::new,
					Collectors.counting()));
		evacuated.forEach((dataCentre, count) -> add(problems, Severity.NOTICE,
				dataCentre + " is evacuated: its endpoints (" + count + ") get no new work"));
	}

	private void endpoints(StatusSummary summary, List<StatusProblem> problems) {
		for (EndpointStatus endpoint : summary.endpoints()) {
			switch (endpoint.state()) {
				case LEAVING -> add(problems, Severity.NOTICE, endpoint.name() + " is leaving: it gets no new work");
				case EVACUATED -> {
					// Reported once for each data centre.
				}
				case SILENT -> add(problems, Severity.WARNING, endpoint.name() + " doesn't answer: it gets no work");
				case EJECTED ->
					add(problems, Severity.WARNING, endpoint.name() + " answers late or badly: it gets little work");
				case USABLE -> usable(endpoint, problems);
			}
		}
	}

	private void usable(EndpointStatus endpoint, List<StatusProblem> problems) {
		if (endpoint.reportAgeMillis() < 0) {
			add(problems, Severity.WARNING, endpoint.name() + " has never reported its load");
		}
		else if (over(endpoint.reportAgeMillis(), this.thresholds.reportAge())) {
			add(problems, Severity.WARNING,
					endpoint.name() + " has not reported its load for " + seconds(endpoint.reportAgeMillis()));
		}
		long percent = (endpoint.kvCapacity() > 0) ? PERCENT * endpoint.kvUsed() / endpoint.kvCapacity() : 0;
		if (percent >= this.thresholds.kvPercent()) {
			add(problems, Severity.WARNING, endpoint.name() + " uses " + percent + " % of its KV memory");
		}
	}

	private void queues(StatusSummary summary, List<StatusProblem> problems) {
		for (QueueStatus queue : summary.queues()) {
			if (queue.waiting() > 0 && over(queue.oldestMillis(), this.thresholds.queueAge())) {
				add(problems, queue.urgent() ? Severity.URGENT : Severity.WARNING, requestsWait(queue.waiting())
						+ "for " + queue.service() + ", the oldest for " + seconds(queue.oldestMillis()));
			}
		}
	}

	private void failures(StatusSummary summary, List<StatusProblem> problems) {
		Instant since = summary.at().minus(this.thresholds.failureWindow());
		List<RecentFailure> recent = summary.failures()
			.stream()
			.filter((failure) -> failure.at().isAfter(since))
			.toList();
		if (recent.isEmpty()) {
			return;
		}
		Map<String, Long> counts = recent.stream()
			.map((failure) -> failure.code() + " at step " + failure.step() + " with " + failure.peer())
			.collect(Collectors.groupingBy(Function.identity(), TreeMap::new, Collectors.counting()));
		String most = counts.entrySet().stream().max(Map.Entry.comparingByValue()).orElseThrow().getKey();
		add(problems, Severity.WARNING,
				recent.size() + ((recent.size() == 1) ? " request" : " requests") + " failed here in the last "
						+ seconds(this.thresholds.failureWindow().toMillis()) + ", most often " + most);
	}

	private boolean silent(DaemonStatus daemon) {
		return daemon.state() == Member.State.DEAD || over(daemon.silentMillis(), this.thresholds.daemonSilence());
	}

	private static String requestsWait(int count) {
		return count + ((count == 1) ? " request waits " : " requests wait ");
	}

	private static String versionWord(long version) {
		return (version == 0) ? "none" : Long.toString(version);
	}

	private static boolean over(long millis, Duration threshold) {
		return millis > threshold.toMillis();
	}

	private static String seconds(long millis) {
		return Duration.ofMillis(millis).toSeconds() + " s";
	}

	private static void add(List<StatusProblem> problems, Severity severity, String sentence) {
		problems.add(new StatusProblem(severity, sentence));
	}

}
