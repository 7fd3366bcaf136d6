package org.bramleyscale.daemon;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.ServiceLoader;

import com.google.common.truth.Truth;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests for {@link CommandLine}.
 */
class CommandLineTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@ParameterizedTest
	@CsvSource({ "'', 2", "nonsense, 2", "settings, 2", "settings check, 2", "settings list, 0",
			"settings check /does/not/exist.yaml, 2", "standin platform --vm entry-1, 2", "standin engine, 2",
			"daemon, 2", "daemon --settings /does/not/exist.yaml, 2", "status --daemon nowhere, 2",
			"drain --daemon 127.0.0.1:1, 2" })
	void exitStatusFollowsTheArguments(String arguments, int status) {
		Truth.assertThat(run(arguments)).isEqualTo(status);
	}

	@Test
	void badSettingsFileGetsAllItsProblemsAndStatusTwo(@TempDir Path directory) throws Exception {
		Path file = Files.writeString(directory.resolve("entry.yaml"), "vm: entry-1\nleaseDuration: soon\n");
		Truth.assertThat(run("settings check " + file)).isEqualTo(ExitCode.BAD_USAGE.status());
		String messages = this.err.toString(StandardCharsets.UTF_8);
		Truth.assertThat(messages).contains("leaseDuration: 'soon' is not allowed");
		Truth.assertThat(messages).contains("platformUrl");
		Truth.assertThat(messages).contains("operatorKeyHash");
	}

	@Test
	void commandThatCanNotGoOnGivesItsMessageAndStatus() {
		Subcommand failing = new Failing();
		int status = new CommandLine(List.of(failing)).run(new String[] { "fail" }, stream(this.out), stream(this.err));
		Truth.assertThat(status).isEqualTo(ExitCode.UNKNOWN_OUTCOME.status());
		Truth.assertThat(this.err.toString(StandardCharsets.UTF_8)).isEqualTo("lost" + System.lineSeparator());
	}

	private int run(String arguments) {
		List<Subcommand> subcommands = ServiceLoader.load(Subcommand.class)
			.stream()
			.map(ServiceLoader.Provider::get)
			.toList();
		String[] split = arguments.isEmpty() ? new String[0] : arguments.split(" ");
		return new CommandLine(subcommands).run(split, stream(this.out), stream(this.err));
	}

	private static PrintStream stream(ByteArrayOutputStream bytes) {
		return new PrintStream(bytes, true, StandardCharsets.UTF_8);
	}

	private static final class Failing implements Subcommand {

		@Override
		public String name() {
			return "fail";
		}

		@Override
		public void configure(Subparser parser) {
			parser.help("fails");
		}

		@Override
		public int run(Namespace arguments, PrintStream out, PrintStream err) throws CommandException {
			throw new CommandException(ExitCode.UNKNOWN_OUTCOME, "lost");
		}

	}

}
