package org.bramleyscale.daemon.demo;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;

import com.fasterxml.jackson.core.JsonProcessingException;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.DaemonFactories;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.Subcommand;
import org.bramleyscale.internal.status.OperatorJson;

/**
 * Shows the whole system at work in one process.
 *
 * <p>
 * Used by one thread.
 */
public final class DemoCommand implements Subcommand {

	private static final String SECONDS = "seconds";

	private static final String SEED = "seed";

	private static final String KILL = "kill";

	private static final String JSON = "json";

	private static final int DEFAULT_SECONDS = 10;

	private static final int MOST_SECONDS = 3600;

	@Override
	public String name() {
		return "demo";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("run a small fleet under load in one process and print what became of each request");
		parser.addArgument("--seconds")
			.type(Integer.class)
			.choices(Arguments.range(2, MOST_SECONDS))
			.setDefault(DEFAULT_SECONDS)
			.help("how long to send requests");
		parser.addArgument("--seed").type(Long.class).setDefault(1L).help("the seed of the load");
		parser.addArgument("--kill").action(Arguments.storeTrue()).help("kill a daemon at three quarters of the load");
		parser.addArgument("--json").action(Arguments.storeTrue()).help("print the closing line only");
	}

	@Override
	public int run(Namespace arguments, PrintStream out, PrintStream err) throws CommandException {
		DemoOptions options = new DemoOptions(Duration.ofSeconds(arguments.getInt(SECONDS)), arguments.getLong(SEED),
				arguments.getBoolean(KILL));
		PrintStream progress = arguments.getBoolean(JSON)
				? new PrintStream(OutputStream.nullOutputStream(), true, StandardCharsets.UTF_8) : out;
		try (DemoFleet fleet = new DemoFleet(DaemonFactories.load())) {
			DemoResult result = new Demo(options, fleet, progress).run();
			out.println(OperatorJson.write(result));
			return (result.good() ? ExitCode.OK : ExitCode.FAILED).status();
		}
		catch (JsonProcessingException ex) {
			throw new CommandException(ExitCode.FAILED, "the result can't be written: " + ex, ex);
		}
	}

}
