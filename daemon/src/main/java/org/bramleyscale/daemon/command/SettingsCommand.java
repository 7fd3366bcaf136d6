package org.bramleyscale.daemon.command;

import java.io.PrintStream;
import java.nio.file.Path;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.bramleyscale.SettingKey;
import org.bramleyscale.SettingsException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.Subcommand;
import org.bramleyscale.internal.settings.SettingsLoader;

/**
 * Checks a settings file, or lists all settings.
 */
public final class SettingsCommand implements Subcommand {

	private static final String ACTION = "action";

	private static final String CHECK = "check";

	private static final String LIST = "list";

	private static final String FILE = "file";

	@Override
	public String name() {
		return "settings";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("check a daemon's settings file, or list all settings");
		Subparsers actions = parser.addSubparsers().dest(ACTION).metavar("ACTION");
		actions.addParser(CHECK).help("report everything that is wrong with a file").addArgument(FILE).metavar("FILE");
		actions.addParser(LIST).help("print the table of settings as Markdown");
	}

	@Override
	public int run(Namespace arguments, PrintStream out, PrintStream err) {
		if (LIST.equals(arguments.getString(ACTION))) {
			list(out);
			return ExitCode.OK.status();
		}
		return check(Path.of(arguments.getString(FILE)), out, err).status();
	}

	private static ExitCode check(Path file, PrintStream out, PrintStream err) {
		try {
			new SettingsLoader().load(file);
			out.println(file + " is valid");
			return ExitCode.OK;
		}
		catch (SettingsException ex) {
			ex.problems().forEach((problem) -> err.println(file + ": " + problem));
			return ExitCode.BAD_USAGE;
		}
	}

	private static void list(PrintStream out) {
		out.println("| Key | Unit | Default | Meaning | Allowed |");
		out.println("|---|---|---|---|---|");
		for (SettingKey<?> key : SettingKey.all()) {
			String fallback = key.defaultText().map((text) -> text.isEmpty() ? "none" : text).orElse("required");
			out.println("| `" + key.name() + "` | " + key.unit() + " | " + fallback + " | " + key.description() + " | "
					+ key.allowed() + " |");
		}
	}

}
