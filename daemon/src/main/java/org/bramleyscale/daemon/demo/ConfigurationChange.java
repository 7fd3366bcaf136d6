package org.bramleyscale.daemon.demo;

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
import org.bramleyscale.internal.status.StatusReport;
import org.bramleyscale.internal.status.StatusSummary;

/**
 * Changes the configuration as an operator would and watches it come into force.
 *
 * <p>
 * Used by one thread, which waits.
 */
final class ConfigurationChange {

	private static final Duration LONGEST_WAIT = Duration.ofSeconds(30);

	private final DaemonClient client;

	private final List<String> daemons;

	ConfigurationChange(DaemonClient client, List<String> daemons) {
		this.client = client;
		this.daemons = daemons;
	}

	/**
	 * Puts a document in force.
	 * @param document which document
	 * @param yaml the document
	 * @param base the version from which it was made
	 * @return the version that the change made
	 * @throws CommandException if it isn't accepted
	 */
	long apply(DocumentKind document, String yaml, long base) throws CommandException {
		Reply reply = this.client.send(Call.put("/v1/operator/" + document.word() + "?" + OperatorHandlers.BASE_VERSION
				+ "=" + base + "&" + OperatorHandlers.CHANGE_ID + "=" + UUID.randomUUID(), yaml));
		if (!reply.ok() || !(reply.read(ApplyResult.class) instanceof ApplyResult.Accepted accepted)) {
			throw new CommandException(ExitCode.FAILED,
					"the " + document.word() + " was not accepted: " + reply.status() + " " + reply.body());
		}
		return accepted.version();
	}

	/**
	 * Waits until all daemons hold a version and admit requests.
	 * @param version the version
	 * @throws CommandException if that takes too long
	 */
	void awaitInForce(long version) throws CommandException {
		long end = System.nanoTime() + LONGEST_WAIT.toNanos();
		for (String daemon : this.daemons) {
			while (!holds(daemon, version)) {
				if (System.nanoTime() - end > 0) {
					throw new CommandException(ExitCode.FAILED, daemon + " does not admit requests under version "
							+ version + " within " + LONGEST_WAIT.toSeconds() + " s");
				}
			}
		}
	}

	private boolean holds(String daemon, long version) {
		try {
			Reply reply = this.client.sendTo(daemon, Call.get("/v1/operator/status"));
			if (!reply.ok()) {
				return false;
			}
			StatusSummary summary = reply.read(StatusReport.class).summary();
			return summary.version() >= version && summary.admitting();
		}
		catch (CommandException ex) {
			return false;
		}
	}

}
