package org.bramleyscale.bench.experiment;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.configuration.ConfigurationProblem;
import org.bramleyscale.internal.configuration.InvalidConfigurationException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link ExperimentReader} with the examples and with broken copies of one.
 */
class ExperimentReaderTests {

	private static final Path EXAMPLES = Path.of("..", "examples", "experiments");

	@ParameterizedTest
	@ValueSource(strings = { "forecasts", "hire-desk", "departure-boards" })
	void readsTheExamples(String name) throws Exception {
		Experiment experiment = ExperimentReader.read(example(name));
		Truth.assertThat(experiment.name()).isEqualTo(name);
		Truth.assertThat(experiment.kinds()).hasSize(3);
		RequestKind first = experiment.kinds().get(0);
		Truth.assertThat(experiment.rate(first, 13)).isGreaterThan(experiment.rate(first, 5));
		Truth.assertThat(experiment.highestRate(first)).isAtLeast(experiment.rate(first, 13));
	}

	@ParameterizedTest
	@CsvSource({ "slots: 11, slots: none, slots", "pause: 250ms, pause: soon, pause", "stride: 43, strides: 43, stride",
			"- product, - best, policies", "kind: memo, kind: memos, phases", "daemons: 8, daemons: 0, daemons" })
	void reportsWhatIsWrong(String from, String to, String key) throws Exception {
		List<ConfigurationProblem> problems = problems(example("forecasts").replace(from, to));
		Truth.assertThat(problems.toString()).contains(key);
	}

	@Test
	void reportsAllProblemsAtOnceWithTheirLines() throws Exception {
		List<ConfigurationProblem> problems = problems(
				example("forecasts").replace("slots: 11", "slots: x").replace("events: 19", "events: y"));
		Truth.assertThat(problems).hasSize(2);
		problems.forEach((problem) -> Truth.assertThat(problem.line()).isGreaterThan(1));
	}

	private static List<ConfigurationProblem> problems(String yaml) {
		try {
			ExperimentReader.read(yaml);
			return List.of();
		}
		catch (InvalidConfigurationException ex) {
			return ex.problems();
		}
	}

	private static String example(String name) throws Exception {
		return Files.readString(EXAMPLES.resolve(name + ".yaml"));
	}

}
