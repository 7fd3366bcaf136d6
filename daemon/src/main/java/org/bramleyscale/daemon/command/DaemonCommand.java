package org.bramleyscale.daemon.command;

import java.io.PrintStream;
import java.nio.file.Path;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bramleyscale.Settings;
import org.bramleyscale.SettingsException;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.DaemonFactories;
import org.bramleyscale.daemon.DaemonHandle;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.Logs;
import org.bramleyscale.daemon.Subcommand;
import org.bramleyscale.internal.settings.SettingsLoader;
import org.jboss.logging.Logger;

/**
 * Runs a daemon until the process is asked to end.
 *
 * <p>
 * Used by one thread.
 */
public final class DaemonCommand implements Subcommand {

	private static final Logger logger = Logger.getLogger(DaemonCommand.class);

	private static final String SETTINGS = "settings";

	@Override
	public String name() {
		return "daemon";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("run a daemon until SIGTERM, which begins a planned stop");
		parser.addArgument("--settings").required(true).metavar("FILE").help("the daemon's settings in YAML");
	}

	@Override
	public int run(Namespace arguments, PrintStream out, PrintStream err) throws CommandException {
		Settings settings = load(Path.of(arguments.getString(SETTINGS)));
		Logs.level(settings.logLevel());
		DaemonHandle daemon = DaemonFactories.load().create(settings);
		start(daemon);
		logger.infof("Daemon %s listens on %s", settings.vm(), daemon.httpAddress());
		Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(daemon), "bramleyscale-leave"));
		daemon.awaitEnd();
		return ExitCode.OK.status();
	}

	private static Settings load(Path file) throws CommandException {
		try {
			return new SettingsLoader().load(file);
		}
		catch (SettingsException ex) {
			StringBuilder message = new StringBuilder(file + " is not valid:");
			ex.problems().forEach((problem) -> message.append(System.lineSeparator()).append(problem));
			throw new CommandException(ExitCode.BAD_USAGE, message.toString(), ex);
		}
	}

	private static void start(DaemonHandle daemon) throws CommandException {
		try {
			daemon.start();
		}
		catch (Exception ex) {
			throw new CommandException(ExitCode.FAILED, "the daemon could not start: " + ex, ex);
		}
	}

	// Runs while the process ends. Halting afterwards makes the exit status tell that the
	// stop was planned; the virtual machine would else end with 143 after SIGTERM.
	private static void leave(DaemonHandle daemon) {
		logger.info("Daemon leaves");
		daemon.leave();
		logger.info("Daemon has left");
		Runtime.getRuntime().halt(ExitCode.OK.status());
	}

}
