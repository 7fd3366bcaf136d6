package org.bramleyscale.daemon.command;

import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.UUID;

import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.Subcommand;
import org.bramleyscale.daemon.operator.Call;
import org.bramleyscale.daemon.operator.DaemonClient;
import org.bramleyscale.daemon.operator.DocumentDiff;
import org.bramleyscale.daemon.operator.DocumentFile;
import org.bramleyscale.daemon.operator.OperatorOptions;
import org.bramleyscale.daemon.operator.Reply;
import org.bramleyscale.internal.status.DocumentKind;
import org.bramleyscale.internal.status.ShownDocument;

/**
 * Shows, compares and changes one of the operator's documents.
 *
 * <p>
 * Used by one thread.
 */
class DocumentCommand implements Subcommand {

	private static final String ACTION = "action";

	private static final String SHOW = "show";

	private static final String DIFF = "diff";

	private static final String APPLY = "apply";

	private static final String FILE = "file";

	private static final String BASE = "base";

	private static final String CHANGE_ID = "change_id";

	private final DocumentKind document;

	private final Map<String, String> environment;

	DocumentCommand(DocumentKind document, Map<String, String> environment) {
		this.document = document;
		this.environment = environment;
	}

	@Override
	public String name() {
		return this.document.word();
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("show, compare or change the " + name());
		Subparsers actions = parser.addSubparsers().dest(ACTION).metavar("ACTION");
		ArgumentParser show = actions.addParser(SHOW).help("print the " + name() + " in force, with its version");
		OperatorOptions.addTo(show);
		ArgumentParser diff = actions.addParser(DIFF).help("print how FILE differs from the " + name() + " in force");
		diff.addArgument(FILE).metavar("FILE");
		OperatorOptions.addTo(diff);
		ArgumentParser apply = actions.addParser(APPLY).help("put FILE in force as the " + name());
		apply.addArgument(FILE).metavar("FILE");
		apply.addArgument("--base")
			.type(Long.class)
			.metavar("VERSION")
			.help("the version from which FILE was made (else its first line, as 'show' writes it); 0 for the first");
		apply.addArgument("--change-id")
			.metavar("ID")
			.help("names this change; give the same id again to learn what became of a change in doubt");
		OperatorOptions.addTo(apply);
	}

	@Override
	public int run(Namespace arguments, PrintStream out, PrintStream err) throws CommandException {
		OperatorOptions options = new OperatorOptions(arguments, this.environment);
		try (DaemonClient client = options.client()) {
			ExitCode exitCode = switch (arguments.getString(ACTION)) {
				case SHOW -> show(client, options, out);
				case DIFF -> diff(client, options, arguments.getString(FILE), out);
				default -> apply(client, options, arguments, out, err);
			};
			return exitCode.status();
		}
	}

	private ExitCode show(DaemonClient client, OperatorOptions options, PrintStream out) throws CommandException {
		ShownDocument shown = inForce(client);
		if (options.json()) {
			Output.json(out, shown);
		}
		else {
			out.print(DocumentFile.format(shown.version(), shown.yaml()));
		}
		return ExitCode.OK;
	}

	private ExitCode diff(DaemonClient client, OperatorOptions options, String file, PrintStream out)
			throws CommandException {
		ShownDocument shown = inForce(client);
		List<String> lines = DocumentDiff.lines(name() + " version " + shown.version(), shown.yaml(), file,
				DocumentFile.read(file).yaml());
		if (options.json()) {
			Output.json(out, Map.of("version", shown.version(), "different", !lines.isEmpty(), "diff", lines));
		}
		else if (lines.isEmpty()) {
			out.println("no difference from version " + shown.version());
		}
		else {
			lines.forEach(out::println);
		}
		return ExitCode.OK;
	}

	private ExitCode apply(DaemonClient client, OperatorOptions options, Namespace arguments, PrintStream out,
			PrintStream err) throws CommandException {
		DocumentFile file = DocumentFile.read(arguments.getString(FILE));
		long base = base(arguments, file);
		String changeId = arguments.getString(CHANGE_ID);
		Change change = new Change(this.document, file.yaml(), base,
				(changeId != null) ? changeId : UUID.randomUUID().toString());
		try {
			Reply reply = client.send(change.call());
			return change.tell(reply, options.json(), out, err);
		}
		catch (CommandException ex) {
			if (ex.exitCode() == ExitCode.UNKNOWN_OUTCOME) {
				err.println(change.hint());
			}
			throw ex;
		}
	}

	private ShownDocument inForce(DaemonClient client) throws CommandException {
		Reply reply = client.send(Call.get("/v1/operator/" + name()));
		if (!reply.ok()) {
			throw reply.failure();
		}
		return new ShownDocument(reply.version().orElse(0L), reply.body());
	}

	private static long base(Namespace arguments, DocumentFile file) throws CommandException {
		Long given = arguments.getLong(BASE);
		if (given != null) {
			return given;
		}
		return file.baseVersion()
			.orElseThrow(() -> new CommandException(ExitCode.BAD_USAGE,
					"the file's first line is not '# version: N', so --base N must say from which version it was made "
							+ "(0 for the first); 'show' prints the document with its version"));
	}

}
