package org.bramleyscale.daemon.command;

import java.io.PrintStream;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.Subcommand;
import org.bramleyscale.daemon.operator.Call;
import org.bramleyscale.daemon.operator.DaemonClient;
import org.bramleyscale.daemon.operator.OperatorOptions;
import org.bramleyscale.daemon.operator.Reply;
import org.bramleyscale.internal.status.DaemonStatus;
import org.bramleyscale.internal.status.StatusReport;

/**
 * Prints the state of one daemon.
 *
 * <p>
 * Used by one thread.
 */
public final class DumpCommand implements Subcommand {

	private static final String TARGET = "target";

	@Override
	public String name() {
		return "dump";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("print the state of one daemon as JSON");
		parser.addArgument(TARGET)
			.nargs("?")
			.metavar("DAEMON")
			.help("a VM's name or HOST:PORT; without it the first daemon that answers");
		OperatorOptions.addTo(parser);
	}

	@Override
	public int run(Namespace arguments, PrintStream out, PrintStream err) throws CommandException {
		OperatorOptions options = new OperatorOptions(arguments, System.getenv());
		List<String> addresses = addresses(arguments.getString(TARGET), options);
		try (DaemonClient client = new DaemonClient(addresses, options.key(), options.timeout())) {
			Reply reply = client.send(Call.get("/v1/operator/dump"));
			if (!reply.ok()) {
				throw reply.failure();
			}
			if (options.json()) {
				out.println(reply.body());
			}
			else {
				Output.prettyJson(out, reply.read(JsonNode.class));
			}
			return ExitCode.OK.status();
		}
	}

	private static List<String> addresses(String target, OperatorOptions options) throws CommandException {
		if (target == null) {
			return options.addresses();
		}
		if (target.contains(":")) {
			OperatorOptions.requireAddress(target);
			return List.of(target);
		}
		return List.of(addressOf(target, options));
	}

	private static String addressOf(String vm, OperatorOptions options) throws CommandException {
		try (DaemonClient client = options.client()) {
			Reply reply = client.send(Call.get("/v1/operator/status"));
			if (!reply.ok()) {
				throw reply.failure();
			}
			return reply.read(StatusReport.class)
				.summary()
				.daemons()
				.stream()
				.filter((daemon) -> daemon.vm().value().equals(vm))
				.map(DaemonStatus::httpAddress)
				.findFirst()
				.orElseThrow(() -> new CommandException(ExitCode.FAILED,
						reply.address() + " knows no daemon on VM '" + vm + "'"));
		}
	}

}
