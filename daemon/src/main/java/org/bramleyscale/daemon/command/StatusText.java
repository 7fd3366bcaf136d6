package org.bramleyscale.daemon.command;

import java.util.Locale;

import org.bramleyscale.internal.status.DaemonReport;
import org.bramleyscale.internal.status.DaemonStatus;
import org.bramleyscale.internal.status.EndpointStatus;
import org.bramleyscale.internal.status.QueueStatus;
import org.bramleyscale.internal.status.RecentFailure;
import org.bramleyscale.internal.status.StatusProblem;
import org.bramleyscale.internal.status.StatusReport;
import org.bramleyscale.internal.status.StatusSummary;

/**
 * The status as text: what is wrong first, then the figures.
 */
final class StatusText {

	private static final int SHOWN_FAILURES = 10;

	private static final long SECOND = 1000;

	private static final int PERCENT = 100;

	private StatusText() {
	}

	static String of(StatusReport report) {
		StringBuilder text = new StringBuilder();
		problems(report, text);
		StatusSummary summary = report.summary();
		line(text, "As %s sees it at %s, configuration %d", summary.daemon().vm(), summary.at(), summary.version());
		line(text, "%nDaemons (%d)", summary.daemons().size());
		summary.daemons().forEach((daemon) -> daemon(daemon, text));
		line(text, "%nEndpoints (%d)", summary.endpoints().size());
		summary.endpoints().forEach((endpoint) -> endpoint(endpoint, text));
		line(text, "%nWaiting here (%d)", summary.queues().size());
		summary.queues().forEach((queue) -> queue(queue, text));
		line(text, "%nLatest failures here (%d)", summary.failures().size());
		summary.failures().stream().limit(SHOWN_FAILURES).forEach((failure) -> failure(failure, text));
		return text.toString();
	}

	private static void problems(StatusReport report, StringBuilder text) {
		if (report.problems().isEmpty()) {
			line(text, "Nothing is wrong.");
		}
		for (StatusProblem problem : report.problems()) {
			line(text, "%-8s %s.", problem.severity(), problem.sentence());
		}
	}

	private static void daemon(DaemonStatus daemon, StringBuilder text) {
		line(text, "  %-16s %-14s %-22s %-8s silent %3d s  version %d  %s", daemon.vm(), daemon.dataCentre(),
				daemon.httpAddress(), lower(daemon.state()), daemon.silentMillis() / SECOND, daemon.version(),
				daemon.report().map(StatusText::report).orElse("no word of its own"));
	}

	private static String report(DaemonReport report) {
		return (report.admitting() ? "admitting" : "not admitting") + "  waiting " + report.waiting();
	}

	private static void endpoint(EndpointStatus endpoint, StringBuilder text) {
		String memory = (endpoint.kvCapacity() > 0) ? (PERCENT * endpoint.kvUsed() / endpoint.kvCapacity()) + " %"
				: "-";
		String report = (endpoint.reportAgeMillis() < 0) ? "never" : (endpoint.reportAgeMillis() / SECOND) + " s ago";
		line(text, "  %-16s %-16s %-14s %-8s running %3d  waiting %3d  memory %5s  reported %s", endpoint.name(),
				endpoint.service(), endpoint.dataCentre(), lower(endpoint.state()), endpoint.running(),
				endpoint.waiting(), memory, report);
	}

	private static void queue(QueueStatus queue, StringBuilder text) {
		line(text, "  %-16s %4d requests, the oldest for %d s%s", queue.service(), queue.waiting(),
				queue.oldestMillis() / SECOND, queue.urgent() ? ", urgent" : "");
	}

	private static void failure(RecentFailure failure, StringBuilder text) {
		line(text, "  %s %s (ran: %s) at %s with %s: %s %s", failure.at(), failure.code(), lower(failure.ran()),
				lower(failure.step()), failure.peer(), failure.message(), failure.requestId());
	}

	private static void line(StringBuilder text, String format, Object... values) {
		text.append(String.format(Locale.ROOT, format, values).stripTrailing()).append('\n');
	}

	private static String lower(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT);
	}

}
