package org.bramleyscale.standins.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.Incarnation;

/**
 * Checks that the configuration version of a daemon never decreases, and that an accepted
 * change is soon in force at each daemon that admits requests.
 *
 * <p>
 * Confined to the test's thread.
 */
final class ConfigurationCheck {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

	private static final Duration IN_FORCE_WITHIN = Duration.ofSeconds(5);

	private final Fleet fleet;

	private final Violations violations;

	private final Map<Incarnation, Long> lastVersions = new HashMap<>();

	private final List<Accepted> accepted = new ArrayList<>();

	ConfigurationCheck(Fleet fleet, Violations violations) {
		this.fleet = fleet;
		this.violations = violations;
		fleet.scheduler().repeat(CHECK_INTERVAL, this::inspect);
	}

	void accepted(long version) {
		this.accepted.add(new Accepted(version, this.fleet.scheduler().nanos()));
	}

	private void inspect() {
		long now = this.fleet.scheduler().nanos();
		long required = this.accepted.stream()
			.filter((change) -> now - change.acceptedAt >= IN_FORCE_WITHIN.toNanos())
			.mapToLong(Accepted::version)
			.max()
			.orElse(0);
		this.fleet.daemons().stream().filter(FleetDaemon::alive).forEach((daemon) -> inspect(daemon, required));
	}

	private void inspect(FleetDaemon daemon, long required) {
		long version = daemon.slices().configuration().current().version();
		Long previous = this.lastVersions.put(daemon.incarnation(), version);
		if (previous != null && version < previous) {
			this.violations.add(daemon + " decreased its version from " + previous + " to " + version);
		}
		if (version < required && daemon.admitting()) {
			this.violations.add(daemon + " admits with version " + version + " though " + required + " was accepted");
		}
	}

	/**
	 * Checks that every daemon has the last accepted version.
	 */
	void check() {
		long required = this.accepted.stream().mapToLong(Accepted::version).max().orElse(0);
		this.fleet.daemons()
			.stream()
			.filter((daemon) -> daemon.slices().configuration().current().version() < required)
			.forEach((daemon) -> this.violations.add(daemon + " never got the accepted version " + required));
	}

	/**
	 * An accepted change.
	 */
	private record Accepted(long version, long acceptedAt) {
	}

}
