package org.bramleyscale.bench.fleet;

import java.time.Duration;
import java.util.List;
import java.util.UUID;

import org.bramleyscale.daemon.CommandException;
import org.bramleyscale.daemon.ExitCode;
import org.bramleyscale.daemon.operator.Call;
import org.bramleyscale.daemon.operator.DaemonClient;
import org.bramleyscale.daemon.operator.Reply;
import org.bramleyscale.internal.status.ApplyResult;
import org.bramleyscale.internal.status.DocumentKind;
import org.bramleyscale.internal.status.OperatorHandlers;

/**
 * Changes the configuration as an operator would.
 *
 * <p>
 * Used by one thread.
 */
final class Operator implements AutoCloseable {

	private static final Duration TIMEOUT = Duration.ofSeconds(10);

	private static final int ATTEMPTS = 5;

	private final DaemonClient client;

	private long version;

	private int repeated;

	Operator(List<String> daemons) {
		this.client = new DaemonClient(daemons, ProcessFleet.OPERATOR_KEY, TIMEOUT);
	}

	/**
	 * Puts a document in force, repeating the call under the same id if it fails.
	 * @param daemon the daemon to ask
	 * @param kind which document
	 * @param yaml the document
	 * @return the version that the change made
	 * @throws CommandException if it isn't accepted after several attempts
	 */
	long apply(String daemon, DocumentKind kind, String yaml) throws CommandException {
		String path = "/v1/operator/" + kind.word() + "?" + OperatorHandlers.BASE_VERSION + "=" + this.version + "&"
				+ OperatorHandlers.CHANGE_ID + "=" + UUID.randomUUID();
		String last = "";
		for (int attempt = 0; attempt < ATTEMPTS; attempt++) {
			try {
				Reply reply = this.client.sendTo(daemon, Call.put(path, yaml));
				if (reply.ok() && reply.read(ApplyResult.class) instanceof ApplyResult.Accepted accepted) {
					this.version = accepted.version();
					return this.version;
				}
				last = reply.status() + " " + reply.body();
			}
			catch (CommandException ex) {
				last = ex.getMessage();
			}
			this.repeated++;
		}
		throw new CommandException(ExitCode.FAILED, daemon + " did not accept the " + kind.word() + ": " + last);
	}

	/**
	 * The version that the last change made.
	 * @return the version, 0 before the first
	 */
	long version() {
		return this.version;
	}

	/**
	 * How many calls had to be repeated.
	 * @return their number
	 */
	int repeated() {
		return this.repeated;
	}

	@Override
	public void close() {
		this.client.close();
	}

}
