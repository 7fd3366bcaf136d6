package org.bramleyscale.bench;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import com.google.common.truth.Truth;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.junit.jupiter.api.Test;

/**
 * The selection of a measurement and the forms of its output.
 */
class MeasureCommandTests {

	private final MeasureCommand command = new MeasureCommand(List.of(new FixedMeasurement()));

	@Test
	void theNamedMeasurementPrintsATable() throws Exception {
		String output = run("measure", "fixed");
		Truth.assertThat(output).isEqualTo("""
				fixed {seed=3}
				entry  time at 5         1.500 ms
				entry  bytes         1,234,568 B
				""");
	}

	@Test
	void jsonIsOneLine() throws Exception {
		String output = run("measure", "fixed", "--json");
		Truth.assertThat(output.strip().lines().count()).isEqualTo(1);
		Truth.assertThat(output)
			.startsWith(
					"{\"measurement\":\"fixed\",\"setting\":{\"seed\":3},\"figures\":[{\"duty\":\"entry\",\"what\":");
	}

	@Test
	void allMeasurementsAreFoundOnTheClassPath() throws Exception {
		ArgumentParser parser = ArgumentParsers.newFor("test").build();
		MeasureCommand found = new MeasureCommand();
		found.configure(parser.addSubparsers().addParser(found.name()));
		Truth.assertThat(parser.parseArgs(new String[] { "measure", "capacity" }).getLong("seed")).isEqualTo(1);
	}

	private String run(String... arguments) throws Exception {
		ArgumentParser parser = ArgumentParsers.newFor("test").build();
		this.command.configure(parser.addSubparsers().addParser(this.command.name()));
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
		int status = this.command.run(parser.parseArgs(arguments), out, out);
		Truth.assertThat(status).isEqualTo(ExitCode.OK.status());
		return bytes.toString(StandardCharsets.UTF_8);
	}

	/**
	 * A measurement with known values.
	 */
	private static final class FixedMeasurement implements Measurement {

		@Override
		public String name() {
			return "fixed";
		}

		@Override
		public void configure(Subparser parser) {
			parser.help("print known values");
		}

		@Override
		public void run(Namespace arguments, PrintStream out) throws CommandException {
			new Figures(name()).setting("seed", 3)
				.add("entry", "time at 5", 1.5, "ms")
				.add("entry", "bytes", 1_234_567.8, "B")
				.print(arguments, out);
		}

	}

}
