package org.bramleyscale.daemon.command;

import java.io.PrintStream;
import java.util.Locale;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bramleyscale.VmId;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.Subcommand;
import org.bramleyscale.daemon.operator.Call;
import org.bramleyscale.daemon.operator.DaemonClient;
import org.bramleyscale.daemon.operator.OperatorOptions;
import org.bramleyscale.daemon.operator.Reply;
import org.bramleyscale.internal.status.DrainResult;

/**
 * Takes a VM out of use: its daemon finishes what it has and takes nothing new.
 *
 * <p>
 * Used by one thread.
 */
public final class DrainCommand implements Subcommand {

	private static final String VM = "vm";

	private static final int NOT_FOUND = 404;

	@Override
	public String name() {
		return "drain";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("let a VM's daemon finish what it has and take nothing new");
		parser.addArgument(VM).metavar("VM");
		OperatorOptions.addTo(parser);
	}

	@Override
	public int run(Namespace arguments, PrintStream out, PrintStream err) throws CommandException {
		VmId vm = vm(arguments.getString(VM));
		OperatorOptions options = new OperatorOptions(arguments, System.getenv());
		try (DaemonClient client = options.client()) {
			Reply reply = client.send(Call.post("/v1/operator/drain/" + vm));
			if (!reply.ok() && !(reply.status() == NOT_FOUND && reply.body().contains("\"outcome\""))) {
				throw reply.failure();
			}
			DrainResult result = reply.read(DrainResult.class);
			if (options.json()) {
				Output.json(out, result);
			}
			else {
				out.println(vm + ": " + result.outcome().name().toLowerCase(Locale.ROOT).replace('_', ' '));
			}
			return (reply.ok() ? ExitCode.OK : ExitCode.FAILED).status();
		}
	}

	private static VmId vm(String name) throws CommandException {
		try {
			return new VmId(name);
		}
		catch (IllegalArgumentException ex) {
			throw new CommandException(ExitCode.BAD_USAGE, ex.getMessage(), ex);
		}
	}

}
