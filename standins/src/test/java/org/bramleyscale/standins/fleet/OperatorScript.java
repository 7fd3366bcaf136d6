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
 * An operator who changes the configuration at any daemon that works, and repeats a
 * change under a new id until it is accepted.
 *
 * <p>
 * Confined to the test's thread.
 */
final class OperatorScript {

	private static final Duration AGAIN = Duration.ofSeconds(1);

	private final Fleet fleet;

	private final ConfigurationCheck check;

	private int changes;

	OperatorScript(Fleet fleet, ConfigurationCheck check) {
		this.fleet = fleet;
		this.check = check;
	}

	/**
	 * Changes the rules once, whatever becomes of it.
	 */
	void changeRules() {
		propose((current, id) -> Change.of(id, current.version(), "operator", FleetDocuments.rules(this.changes + 1)),
				false);
	}

	/**
	 * Marks an endpoint as leaving, or takes the mark back, until that is accepted.
	 * @param endpoint the endpoint
	 * @param leaving the mark
	 */
	void mark(EndpointId endpoint, boolean leaving) {
		UnaryOperator<Register> change = (register) -> FleetDocuments.marked(register, endpoint, leaving);
		propose((current, id) -> Change.of(id, current.version(), "operator", change.apply(current.register())), true);
	}

	private void propose(Edit edit, boolean insist) {
		List<FleetDaemon> working = this.fleet.daemons().stream().filter(FleetDaemon::working).toList();
		FleetDaemon daemon = working.get(this.fleet.random().nextInt(working.size()));
		ConfigurationService configuration = daemon.slices().configuration();
		this.changes++;
		Change change = edit.of(configuration.current(), "change-number-" + this.changes);
		configuration.propose(change).whenComplete((result, failure) -> {
			if (result instanceof ChangeResult.Accepted accepted) {
				this.check.accepted(accepted.version());
			}
			else if (insist) {
				this.fleet.scheduler().schedule(AGAIN, () -> propose(edit, true));
			}
		});
	}

	/**
	 * Makes a change from the configuration that a daemon holds.
	 */
	private interface Edit {

		Change of(Configuration current, String id);

	}

}
