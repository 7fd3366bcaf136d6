package org.bramleyscale.standins.fleet;

import java.time.Duration;
import java.util.List;
import java.util.function.UnaryOperator;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.configuration.Change;
import org.bramleyscale.internal.configuration.ChangeResult;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.ConfigurationService;
import org.bramleyscale.internal.configuration.Register;

/**
 * An operator who proposes configuration changes to a random running daemon, and proposes
 * some of them again under a new id until they are accepted.
 *
 * <p>
 * Confined to the test's thread.
 */
final class OperatorScript {

	private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

	private final Fleet fleet;

	private final ConfigurationCheck check;

	private int changes;

	OperatorScript(Fleet fleet, ConfigurationCheck check) {
		this.fleet = fleet;
		this.check = check;
	}

	/**
	 * Proposes one change of the rules, whatever its outcome.
	 */
	void changeRules() {
		propose((current, id) -> Change.of(id, current.version(), "operator", FleetDocuments.rules(this.changes + 1)),
				false);
	}

	/**
	 * Marks an endpoint as leaving, or removes the mark, and retries until the change is
	 * accepted.
	 * @param endpoint the endpoint
	 * @param leaving the mark
	 */
	void setLeaving(EndpointId endpoint, boolean leaving) {
		UnaryOperator<Register> change = (register) -> FleetDocuments.withLeaving(register, endpoint, leaving);
		propose((current, id) -> Change.of(id, current.version(), "operator", change.apply(current.register())), true);
	}

	private void propose(Edit edit, boolean retryUntilAccepted) {
		List<FleetDaemon> running = this.fleet.daemons().stream().filter(FleetDaemon::running).toList();
		FleetDaemon daemon = running.get(this.fleet.random().nextInt(running.size()));
		ConfigurationService configuration = daemon.slices().configuration();
		this.changes++;
		Change change = edit.of(configuration.current(), "change-number-" + this.changes);
		configuration.propose(change).whenComplete((result, failure) -> {
			if (result instanceof ChangeResult.Accepted accepted) {
				this.check.accepted(accepted.version());
			}
			else if (retryUntilAccepted) {
				this.fleet.scheduler().schedule(RETRY_DELAY, () -> propose(edit, true));
			}
		});
	}

	/**
	 * Creates a change from the current configuration of a daemon.
	 */
	private interface Edit {

		Change of(Configuration current, String id);

	}

}
