package org.bramleyscale.internal.status;

import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.List;
import java.util.Locale;

import com.google.common.escape.Escaper;
import com.google.common.html.HtmlEscapers;

/**
 * The status as a page for a phone: what is wrong first, then the figures.
 *
 * <p>
 * Runs no scripts; the browser loads it anew every few seconds. Everything that comes
 * from outside is escaped. Not safe for use by multiple threads.
 */
final class StatusPage {

	private static final Escaper ESCAPER = HtmlEscapers.htmlEscaper();

	private static final int REFRESH_SECONDS = 5;

	private static final int SHOWN_FAILURES = 10;

	private static final int SHOWN_ROWS = 100;

	private static final long SECOND = 1000;

	private static final String SELF = "self";

	private static final DateTimeFormatter DAY_AND_TIME = formatter("yyyy-MM-dd HH:mm:ss 'UTC'");

	private static final DateTimeFormatter TIME = formatter("HH:mm:ss");

	private static final String STYLE = """
			body{font:16px/1.4 system-ui,sans-serif;margin:0 auto;padding:8px;max-width:720px;overflow-wrap:anywhere}
			h1{font-size:20px;margin:4px 0}h2{font-size:17px;margin:16px 0 4px}
			ul{list-style:none;margin:0;padding:0}li{padding:6px 8px;margin:4px 0;border-left:6px solid #999}
			.urgent{border-color:#b00020;background:#fdecee}.warning{border-color:#b06a00;background:#fff4e0}
			.notice{border-color:#3565a0;background:#eef4fb}.good{border-color:#2e7d32;background:#eaf5ea}
			table{border-collapse:collapse;width:100%;font-size:14px}
			th,td{text-align:left;padding:3px 4px;border-bottom:1px solid #ddd;vertical-align:top}
			.faint{color:#555;font-size:13px}
			""";

	private final StatusReport report;

	private final StringBuilder html = new StringBuilder();

	StatusPage(StatusReport report) {
		this.report = report;
	}

	String html() {
		head();
		problems();
		daemons();
		endpoints();
		queues();
		failures();
		this.html.append("</body></html>\n");
		return this.html.toString();
	}

	private void head() {
		StatusSummary summary = this.report.summary();
		this.html.append("<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">")
			.append("<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\">")
			.append("<meta http-equiv=\"refresh\" content=\"" + REFRESH_SECONDS + "\">")
			.append("<title>bramleyscale status</title><style>\n" + STYLE + "</style></head><body>\n");
		this.html.append("<h1>bramleyscale</h1><p class=\"faint\">As ")
			.append(escape(summary.daemon().vm()))
			.append(" sees it at ")
			.append(escape(DAY_AND_TIME.format(summary.at())))
			.append(", configuration ")
			.append(summary.version())
			.append("</p>\n");
	}

	private void problems() {
		List<StatusProblem> problems = this.report.problems();
		this.html.append("<ul>");
		if (problems.isEmpty()) {
			this.html.append("<li class=\"good\">Nothing is wrong.</li>");
		}
		for (StatusProblem problem : problems) {
			this.html.append("<li class=\"" + lower(problem.severity()) + "\">")
				.append(escape(problem.sentence()))
				.append(".</li>");
		}
		this.html.append("</ul>\n");
	}

	private void daemons() {
		List<DaemonStatus> daemons = this.report.summary().daemons();
		table("Daemons", daemons.size(), "VM", "State", "Waiting", "Version");
		for (DaemonStatus daemon : shown(daemons)) {
			row(daemon.vm() + "\n" + daemon.dataCentre(), state(daemon), waiting(daemon), daemon.version());
		}
		this.html.append("</table>\n");
	}

	private void endpoints() {
		List<EndpointStatus> endpoints = this.report.summary().endpoints();
		table("Endpoints", endpoints.size(), "Endpoint", "State", "Work", "Memory", "Report");
		for (EndpointStatus endpoint : shown(endpoints)) {
			row(endpoint.name() + "\n" + endpoint.service(), lower(endpoint.state()),
					endpoint.running() + " run\n" + endpoint.waiting() + " wait", memory(endpoint),
					(endpoint.reportAgeMillis() < 0) ? "never" : seconds(endpoint.reportAgeMillis()) + " ago");
		}
		this.html.append("</table>\n");
	}

	private void queues() {
		List<QueueStatus> queues = this.report.summary().queues();
		table("Waiting here", queues.size(), "Service", "Requests", "Oldest");
		for (QueueStatus queue : shown(queues)) {
			row(queue.service() + (queue.urgent() ? "\nurgent" : ""), queue.waiting(), seconds(queue.oldestMillis()));
		}
		this.html.append("</table>\n");
	}

	private void failures() {
		List<RecentFailure> failures = this.report.summary().failures();
		table("Latest failures here", failures.size(), "UTC", "What");
		for (RecentFailure failure : failures.subList(0, Math.min(SHOWN_FAILURES, failures.size()))) {
			row(TIME.format(failure.at()), what(failure));
		}
		this.html.append("</table>\n");
	}

	private void table(String title, int size, String... columns) {
		this.html.append("<h2>").append(title).append(" (").append(size).append(")</h2><table><tr>");
		for (String column : columns) {
			this.html.append("<th>").append(column).append("</th>");
		}
		this.html.append("</tr>\n");
	}

	private void row(Object... cells) {
		this.html.append("<tr>");
		for (Object cell : cells) {
			this.html.append("<td>").append(escape(cell).replace("\n", "<br>")).append("</td>");
		}
		this.html.append("</tr>\n");
	}

	private static String what(RecentFailure failure) {
		String place = failure.peer().equals(SELF) ? " here" : " with " + failure.peer();
		String request = failure.requestId().isEmpty() ? "" : "\n" + failure.requestId();
		return failure.code() + " (ran: " + lower(failure.ran()) + ") at " + lower(failure.step()) + place + "\n"
				+ failure.message() + request;
	}

	private static DateTimeFormatter formatter(String pattern) {
		return DateTimeFormatter.ofPattern(pattern, Locale.ROOT).withZone(ZoneOffset.UTC);
	}

	private static <T> List<T> shown(List<T> rows) {
		return rows.subList(0, Math.min(SHOWN_ROWS, rows.size()));
	}

	private static String state(DaemonStatus daemon) {
		String silent = (daemon.silentMillis() >= SECOND) ? "\nsilent " + seconds(daemon.silentMillis()) : "";
		boolean refuses = daemon.report().isPresent() && !daemon.report().get().admitting();
		return lower(daemon.state()) + (refuses ? "\ntakes nothing new" : "") + silent;
	}

	private static String waiting(DaemonStatus daemon) {
		return daemon.report()
			.map((report) -> (report.waiting() == 0) ? "0"
					: report.waiting() + "\noldest " + seconds(report.oldestMillis()))
			.orElse("no word");
	}

	private static String memory(EndpointStatus endpoint) {
		return (endpoint.kvCapacity() > 0) ? (100 * endpoint.kvUsed() / endpoint.kvCapacity()) + " %" : "";
	}

	private static String seconds(long millis) {
		return (millis / SECOND) + " s";
	}

	private static String lower(Enum<?> constant) {
		return constant.name().toLowerCase(Locale.ROOT);
	}

	private static String escape(Object value) {
		return ESCAPER.escape(String.valueOf(value));
	}

}
