package org.bramleyscale.bench.routing;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * The output of the routing measurement.
 */
class RoutingMeasurementTests {

	private static final int REQUESTS = 80;

	@Test
	void theSameSeedGivesTheSameBytesWhateverTheThreads(@TempDir Path directory) throws Exception {
		String first = output(1, 1, directory.resolve("first"));
		String second = output(1, 4, directory.resolve("second"));
		Truth.assertThat(second).isEqualTo(first);
		Truth.assertThat(Files.readAllBytes(directory.resolve("second/routing.csv")))
			.isEqualTo(Files.readAllBytes(directory.resolve("first/routing.csv")));
		Truth.assertThat(Files.readAllBytes(directory.resolve("second/routing.svg")))
			.isEqualTo(Files.readAllBytes(directory.resolve("first/routing.svg")));
	}

	@Test
	void anotherSeedGivesOtherFigures(@TempDir Path directory) throws Exception {
		Truth.assertThat(output(2, 4, directory.resolve("a"))).isNotEqualTo(output(1, 4, directory.resolve("b")));
	}

	@Test
	void everyLoadAndContenderHasItsRow() throws Exception {
		List<RoutingRow> rows = RoutingMeasurement.rows(new RoutingPlan(REQUESTS, 1).trials(), 4);
		Truth.assertThat(rows.stream().filter((row) -> row.group().equals(RoutingPlan.LOADS)).count())
			.isEqualTo(5 * (1 + Contenders.baselines().size()));
		Truth.assertThat(rows.stream().filter((row) -> row.group().equals(RoutingPlan.ABLATIONS)).count())
			.isEqualTo(1 + Mechanism.values().length);
	}

	private static String output(long seed, int threads, Path directory) throws Exception {
		RoutingReport report = new RoutingReport(
				RoutingMeasurement.rows(new RoutingPlan(REQUESTS, seed).trials(), threads));
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		report.print(new PrintStream(bytes, true, StandardCharsets.UTF_8));
		report.write(directory);
		return bytes.toString(StandardCharsets.UTF_8);
	}

}
