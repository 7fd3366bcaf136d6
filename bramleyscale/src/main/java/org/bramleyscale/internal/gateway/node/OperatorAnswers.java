package org.bramleyscale.internal.gateway.node;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.internal.gateway.http.SimpleHttpServer;
import org.bramleyscale.internal.status.MetricsExport;
import org.bramleyscale.internal.status.OperatorJson;
import org.bramleyscale.internal.status.ProblemFinder;
import org.bramleyscale.internal.status.ProblemThresholds;
import org.bramleyscale.internal.status.StatusProblem;
import org.bramleyscale.internal.status.StatusReport;
import org.bramleyscale.internal.status.StatusSummary;

/**
 * Serves status, dump and metrics to operators under the same paths as the product's own
 * daemon, so that the command line works with both. {@code /} lists the problems in plain
 * sentences, readable on a phone.
 *
 * <p>
 * Confined to the loop's thread.
 */
public final class OperatorAnswers implements Function<SimpleHttpServer.Request, SimpleHttpServer.Response> {

	private static final int OK = 200;

	private static final int FAILED = 500;

	private static final String JSON = "application/json";

	private static final String TEXT = "text/plain; charset=utf-8";

	private final GatewayNode node;

	private final MetricsExport metrics;

	private final ProblemFinder problems = new ProblemFinder(ProblemThresholds.DEFAULT);

	public OperatorAnswers(GatewayNode node, MetricRegistry metrics) {
		this.node = node;
		this.metrics = new MetricsExport(metrics);
	}

	@Override
	public SimpleHttpServer.Response apply(SimpleHttpServer.Request request) {
		try {
			return switch (request.path()) {
				case "/" -> response(TEXT, problemText());
				case "/v1/operator/status" -> response(JSON, OperatorJson.write(report()));
				case "/v1/operator/dump" -> response(JSON, OperatorJson.write(this.node.dump()));
				case "/v1/operator/metrics", "/metrics" -> response(MetricsExport.TEXT_TYPE, this.metrics.text());
				default -> SimpleHttpServer.Response.NOT_FOUND;
			};
		}
		catch (IOException ex) {
			return new SimpleHttpServer.Response(FAILED, TEXT, ex.toString().getBytes(StandardCharsets.UTF_8));
		}
	}

	private StatusReport report() {
		StatusSummary summary = this.node.status();
		return new StatusReport(this.problems.find(summary), summary);
	}

	private String problemText() {
		List<StatusProblem> found = report().problems();
		if (found.isEmpty()) {
			return "Nothing is wrong as far as this daemon knows.\n";
		}
		StringBuilder text = new StringBuilder();
		found.forEach(
				(problem) -> text.append(problem.severity()).append(": ").append(problem.sentence()).append(".\n"));
		return text.toString();
	}

	private static SimpleHttpServer.Response response(String type, String body) {
		return new SimpleHttpServer.Response(OK, type, body.getBytes(StandardCharsets.UTF_8));
	}

}
