package org.bramleyscale.daemon.command;

import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.Subcommand;
import org.bramleyscale.daemon.operator.Call;
import org.bramleyscale.daemon.operator.DaemonClient;
import org.bramleyscale.daemon.operator.OperatorOptions;
import org.bramleyscale.daemon.operator.Reply;
import org.bramleyscale.internal.status.StatusReport;

/**
 * Says what is wrong in the fleet, then shows its figures.
 *
 * <p>
 * Used by one thread.
 */
public final class StatusCommand implements Subcommand {

	private static final String WATCH = "watch";

	private static final int WATCH_SECONDS = 2;

	@Override
	public String name() {
		return "status";
	}

	@Override
	public void configure(Subparser parser) {
		parser.help("say what is wrong, then show daemons, endpoints and queues");
		parser.addArgument("--watch")
			.action(Arguments.storeTrue())
			.help("print it again every " + WATCH_SECONDS + " s until interrupted");
		OperatorOptions.addTo(parser);
	}

	@Override
	public int run(Namespace arguments, PrintStream out, PrintStream err) throws CommandException {
		OperatorOptions options = new OperatorOptions(arguments, System.getenv());
		try (DaemonClient client = options.client()) {
			if (Boolean.TRUE.equals(arguments.getBoolean(WATCH))) {
				watch(client, options, out, err);
			}
			else {
				print(client, options, out);
			}
			return ExitCode.OK.status();
		}
	}

	private static void watch(DaemonClient client, OperatorOptions options, PrintStream out, PrintStream err) {
		CountDownLatch interrupted = new CountDownLatch(1);
		Runtime.getRuntime().addShutdownHook(new Thread(interrupted::countDown, "bramleyscale-interrupt"));
		boolean go = true;
		while (go) {
			try {
				print(client, options, out);
			}
			catch (CommandException ex) {
				// During an incident the daemons may be gone for a while; a watch that
				// ended then would have to be started again at the worst moment.
				err.println(ex.getMessage());
			}
			out.println();
			go = !ended(interrupted);
		}
	}

	private static boolean ended(CountDownLatch interrupted) {
		try {
			return interrupted.await(WATCH_SECONDS, TimeUnit.SECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return true;
		}
	}

	private static void print(DaemonClient client, OperatorOptions options, PrintStream out) throws CommandException {
		Reply reply = client.send(Call.get("/v1/operator/status"));
		if (!reply.ok()) {
			throw reply.failure();
		}
		if (options.json()) {
			out.println(reply.body());
		}
		else {
			out.print(StatusText.of(reply.read(StatusReport.class)));
		}
	}

}
