package org.bramleyscale.bench.routing;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.knowm.xchart.VectorGraphicsEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/**
 * Writes the rows of the routing measurement as a table, as CSV and as a plot.
 *
 * <p>
 * Immutable.
 */
final class RoutingReport {

	private static final String HEAD = "%-30s %-26s %8s %8s %8s %9s %9s %11s %7s %7s %6s %6s %5s%n";

	private static final String LINE = "%-30s %-26s %8.3f %8.3f %8.3f %9.2f %9s %11.0f %6.1f%% %6.2f%% %6.2f %6.2f %5d%n";

	private static final String CSV_HEAD = "group,setting,load,contender,shortP50,shortP95,shortP99,longP95,"
			+ "groupsFinished,groupsOffered,goodput,refused,failed,worstTimeUsed,fairness,ejections%n";

	private static final String CSV_LINE = "%s,%s,%.2f,%s,%.4f,%.4f,%.4f,%.4f,%d,%d,%.1f,%.5f,%.5f,%.4f,%.4f,%d%n";

	private static final int WIDTH = 900;

	private static final int HEIGHT = 600;

	private static final double PERCENT = 100;

	private final List<RoutingRow> rows;

	RoutingReport(List<RoutingRow> rows) {
		this.rows = List.copyOf(rows);
	}

	void print(PrintStream out) {
		String group = "";
		for (RoutingRow row : this.rows) {
			if (!row.group().equals(group)) {
				group = row.group();
				out.printf(Locale.ROOT, "%n%s: first token of prompts up to 2k tokens and of 32k to 100k, in seconds%n",
						group);
				out.printf(Locale.ROOT, HEAD, "setting", "contender", "<=2k p50", "p95", "p99", "long p95", "groups",
						"tokens/s", "refused", "failed", "time", "share", "eject");
			}
			out.printf(Locale.ROOT, LINE, row.setting(), row.contender(), row.shortP50(), row.shortP95(),
					row.shortP99(), row.longP95(), row.groupsFinished() + "/" + row.groupsOffered(), row.goodput(),
					PERCENT * row.refused(), PERCENT * row.failed(), row.worstTimeUsed(), row.fairness(),
					row.ejections());
		}
		targets(out);
	}

	/**
	 * Compares the varied settings with what is asked of them.
	 * @param out takes the lines
	 */
	private void targets(PrintStream out) {
		out.printf(Locale.ROOT, "%nshort prompts' p95 against no long prompt and against least-in-flight%n");
		Map<String, Map<String, RoutingRow>> settings = new LinkedHashMap<>();
		this.rows.stream()
			.filter((row) -> row.group().equals(RoutingPlan.VARIED))
			.forEach((row) -> settings.computeIfAbsent(row.setting(), (name) -> new LinkedHashMap<>())
				.put(row.contender(), row));
		settings.forEach((setting, contenders) -> {
			RoutingRow ours = contenders.get(Contenders.OURS.name());
			RoutingRow alone = contenders.get(RoutingPlan.NO_LONG);
			RoutingRow least = contenders.get(Contenders.LEAST_IN_FLIGHT.name());
			out.printf(Locale.ROOT, "%-34s %5.2f of no long prompt, %6.4f of least-in-flight, goodput %5.3f of it%n",
					setting, ours.shortP95() / alone.shortP95(), ours.shortP95() / least.shortP95(),
					ours.goodput() / least.goodput());
		});
	}

	void write(Path directory) throws IOException {
		Files.createDirectories(directory);
		Files.writeString(directory.resolve("routing.csv"), csv(), StandardCharsets.UTF_8);
		VectorGraphicsEncoder.saveVectorGraphic(plot(), directory.resolve("routing").toString(),
				VectorGraphicsEncoder.VectorGraphicsFormat.SVG);
	}

	private String csv() {
		StringBuilder csv = new StringBuilder(String.format(Locale.ROOT, CSV_HEAD));
		for (RoutingRow row : this.rows) {
			csv.append(String.format(Locale.ROOT, CSV_LINE, row.group(), row.setting(), row.load(), row.contender(),
					row.shortP50(), row.shortP95(), row.shortP99(), row.longP95(), row.groupsFinished(),
					row.groupsOffered(), row.goodput(), row.refused(), row.failed(), row.worstTimeUsed(),
					row.fairness(), row.ejections()));
		}
		return csv.toString();
	}

	private XYChart plot() {
		XYChart chart = new XYChartBuilder().width(WIDTH)
			.height(HEIGHT)
			.title("First token of prompts up to 2k tokens, p95")
			.xAxisTitle("offered work / capacity")
			.yAxisTitle("seconds")
			.build();
		chart.getStyler().setYAxisLogarithmic(true);
		Map<String, List<RoutingRow>> series = new LinkedHashMap<>();
		this.rows.stream()
			.filter((row) -> row.group().equals(RoutingPlan.LOADS))
			.forEach((row) -> series.computeIfAbsent(row.contender(), (name) -> new ArrayList<>()).add(row));
		series.forEach((name, line) -> chart.addSeries(name, line.stream().mapToDouble(RoutingRow::load).toArray(),
				line.stream().mapToDouble((row) -> Math.max(row.shortP95(), 1e-3)).toArray()));
		return chart;
	}

}
