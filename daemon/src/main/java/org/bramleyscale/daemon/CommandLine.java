package org.bramleyscale.daemon;

import java.io.PrintStream;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.util.Comparator;
import java.util.List;

import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Parses arguments and runs the subcommand that they select.
 *
 * <p>
 * Used by one thread.
 */
final class CommandLine {

	private static final String COMMAND = "command";

	private final List<Subcommand> subcommands;

	CommandLine(List<Subcommand> subcommands) {
		this.subcommands = subcommands.stream().sorted(Comparator.comparing(Subcommand::name)).toList();
	}

	int run(String[] arguments, PrintStream out, PrintStream err) {
		ArgumentParser parser = parser();
		try {
			Namespace namespace = parser.parseArgs(arguments);
			return selected(namespace).run(namespace, out, err);
		}
		catch (HelpScreenException ex) {
			return ExitCode.OK.status();
		}
		catch (ArgumentParserException ex) {
			PrintWriter writer = new PrintWriter(err, true, StandardCharsets.UTF_8);
			parser.handleError(ex, writer);
			writer.flush();
			return ExitCode.BAD_USAGE.status();
		}
		catch (CommandException ex) {
			err.println(ex.getMessage());
			return ex.exitCode().status();
		}
	}

	private ArgumentParser parser() {
		ArgumentParser parser = ArgumentParsers.newFor("bramleyscale")
			.build()
			.description("Serves language models to short and long prompts.")
			.epilog("Exit status: 0 done, 1 failed, 2 bad arguments, settings or document, 3 conflict, "
					+ "4 no daemon answers, 5 outcome unknown.");
		Subparsers subparsers = parser.addSubparsers().dest(COMMAND).metavar("COMMAND").title("commands");
		for (Subcommand subcommand : this.subcommands) {
			Subparser subparser = subparsers.addParser(subcommand.name());
			subcommand.configure(subparser);
		}
		return parser;
	}

	private Subcommand selected(Namespace namespace) throws CommandException {
		String name = namespace.getString(COMMAND);
		return this.subcommands.stream()
			.filter((subcommand) -> subcommand.name().equals(name))
			.findFirst()
			.orElseThrow(() -> new CommandException(ExitCode.BAD_USAGE, "a command is needed; see --help"));
	}

}
