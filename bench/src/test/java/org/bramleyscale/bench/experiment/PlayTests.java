package org.bramleyscale.bench.experiment;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link Play} and what is reported of it.
 */
class PlayTests {

	@ParameterizedTest
	@ValueSource(strings = { "product", "least in flight", "always split" })
	void aSeedGivesTheSamePlayEachTime(String policy) throws Exception {
		Experiment experiment = experiment();
		Truth.assertThat(summary(new Play(experiment, policy, 3).run()))
			.isEqualTo(summary(new Play(experiment, policy, 3).run()));
	}

	@Test
	void policiesMeetTheSameRequests() throws Exception {
		Experiment experiment = experiment();
		Map<String, KindOutcome> product = new Play(experiment, "product", 5).run();
		Map<String, KindOutcome> split = new Play(experiment, "always split", 5).run();
		product.forEach((kind, outcome) -> {
			Truth.assertThat(split.get(kind).asked).isEqualTo(outcome.asked);
			Truth.assertThat(split.get(kind).owed).isWithin(1e-9).of(outcome.owed);
		});
	}

	@Test
	void eachRequestEndsInOneWay() throws Exception {
		new Play(experiment(), "product", 1).run()
			.values()
			.forEach((outcome) -> Truth
				.assertThat(outcome.inTime + outcome.lateFirst + outcome.latePause + outcome.refused)
				.isEqualTo(outcome.asked));
	}

	@Test
	void reportsATableRowsAndAPlot(@TempDir Path folder) throws Exception {
		Experiment experiment = experiment();
		List<PolicyResult> results = List.of(result(experiment, "product"), result(experiment, "least in flight"));
		ExperimentReport report = new ExperimentReport(experiment, results);
		ByteArrayOutputStream table = new ByteArrayOutputStream();
		report.print(new PrintStream(table, true, StandardCharsets.UTF_8));
		report.writeCsv(folder.resolve("plays.csv"));
		report.writePlot(folder.resolve("plays.png"));
		Truth.assertThat(table.toString(StandardCharsets.UTF_8)).contains("least in flight");
		Truth.assertThat(Files.readAllLines(folder.resolve("plays.csv"))).hasSize(1 + 2 * 2 * 3);
		Truth.assertThat(Files.size(folder.resolve("plays.png"))).isGreaterThan(1_000);
		Truth.assertThat(results.get(0).against(results.get(0)).mean()).isEqualTo(0);
	}

	private static PolicyResult result(Experiment experiment, String policy) {
		return new PolicyResult(policy,
				List.of(new Play(experiment, policy, 0).run(), new Play(experiment, policy, 1).run()));
	}

	private static Experiment experiment() throws Exception {
		return ExperimentReader.read(Files.readString(Path.of("..", "examples", "experiments", "forecasts.yaml"))
			.replace("length: 36s", "length: 6s"));
	}

	private static String summary(Map<String, KindOutcome> outcomes) {
		StringBuilder text = new StringBuilder();
		outcomes.forEach((kind, outcome) -> text.append(kind)
			.append(' ')
			.append(outcome.asked)
			.append(' ')
			.append(outcome.inTime)
			.append(' ')
			.append(outcome.earned)
			.append('\n'));
		return text.toString();
	}

}
