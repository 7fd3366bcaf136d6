package org.bramleyscale.bench;

import java.io.PrintStream;
import java.util.Comparator;
import java.util.List;
import java.util.ServiceLoader;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.Subcommand;

/**
 * Runs one of the measurements found on the class path.
 *
 * <p>
 * Used by one thread.
 */
public final class MeasureCommand implements Subcommand {

	private static final String MEASUREMENT = "measurement";

	private final List<Measurement> measurements;

	public MeasureCommand() {
		this(ServiceLoader.load(Measurement.class).stream().map(ServiceLoader.Provider::get).toList());
	}

	MeasureCommand(List<Measurement> measurements) {
		this.measurements = measurements.stream().sorted(Comparator.comparing(Measurement::name)).toList();
	}

	@Override
	public String name() {
		return "measure";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("measure what this product costs and how fast it is, on this machine");
		Subparsers subparsers = parser.addSubparsers().dest(MEASUREMENT).metavar("MEASUREMENT");
		for (Measurement measurement : this.measurements) {
			Subparser subparser = subparsers.addParser(measurement.name());
			subparser.addArgument("--json").action(Arguments.storeTrue()).help("print one line of JSON");
			measurement.configure(subparser);
		}
	}

	@Override
	public int run(Namespace arguments, PrintStream out, PrintStream err) throws CommandException {
		String selected = arguments.getString(MEASUREMENT);
		for (Measurement measurement : this.measurements) {
			if (measurement.name().equals(selected)) {
				measurement.run(arguments, out);
				return ExitCode.OK.status();
			}
		}
		throw new CommandException(ExitCode.BAD_USAGE, "no measurement is named '" + selected + "'");
	}

}
