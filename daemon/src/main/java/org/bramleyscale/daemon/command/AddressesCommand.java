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

/**
 * Prints the entries that a client account should call.
 *
 * <p>
 * Used by one thread.
 */
public final class AddressesCommand implements Subcommand {

	private static final String KEY_VARIABLE = "BRAMLEYSCALE_API_KEY";

	private static final String KEY_FILE = "api_key_file";

	@Override
	public String name() {
		return "addresses";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("print the entries that a client account should call, the preferred one first");
		parser.addArgument("--api-key-file")
			.metavar("FILE")
			.help("file that holds the account's API key (else " + KEY_VARIABLE + ")");
		OperatorOptions.addTo(parser);
	}

	@Override
	public int run(Namespace arguments, PrintStream out, PrintStream err) throws CommandException {
		OperatorOptions options = new OperatorOptions(arguments, System.getenv());
		List<String> addresses = options.addresses();
		try (DaemonClient client = new DaemonClient(addresses, key(arguments), options.timeout())) {
			Reply reply = client.send(Call.get("/v1/addresses"));
			if (!reply.ok()) {
				throw reply.failure();
			}
			if (options.json()) {
				out.println(reply.body());
			}
			else {
				print(reply.read(JsonNode.class), out);
			}
			return ExitCode.OK.status();
		}
	}

	private static void print(JsonNode answer, PrintStream out) {
		for (JsonNode entry : answer.path("entries")) {
			out.println(entry.path("address").asText() + "  " + entry.path("dataCentre").asText()
					+ "  request ids start with " + entry.path("requestIdPrefix").asText() + "~");
		}
		out.println("keep for " + answer.path("keepForMillis").asLong() + " ms");
	}

	private static String key(Namespace arguments) throws CommandException {
		String file = arguments.getString(KEY_FILE);
		String key = (file != null) ? OperatorOptions.readKey(file) : System.getenv(KEY_VARIABLE);
		if (key == null) {
			throw new CommandException(ExitCode.BAD_USAGE,
					"an API key is needed: --api-key-file FILE or " + KEY_VARIABLE);
		}
		return key;
	}

}
