package org.bramleyscale.internal.gateway.limit;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.load.LoadExchange;
import org.bramleyscale.internal.time.Clock;

/**
 * Tells whether this daemon hears from most of the registered daemons.
 *
 * <p>
 * Two daemons that each hear from more than half of the same fleet have one in common,
 * through which each learns of the other. Confined to the scheduler's thread.
 */
public final class FleetContact {

	/**
	 * How long a daemon counts as heard after a load update. It sends three within this
	 * time.
	 */
	public static final Duration TIMEOUT = LoadExchange.UPDATE_INTERVAL.multipliedBy(3).plus(LoadExchange.BATCH_DELAY);

	private final Clock clock;

	private final HolderFleet fleet;

	private final Map<VmId, Long> heardAt = new HashMap<>();

	/**
	 * Creates the contact of a daemon that has heard from no other.
	 * @param clock the daemon's clock
	 * @param fleet the fleet as this daemon knows it
	 */
	public FleetContact(Clock clock, HolderFleet fleet) {
		this.clock = clock;
		this.fleet = fleet;
	}

	public void heard(VmId vm) {
		this.heardAt.put(vm, this.clock.nanos());
	}

	void forgetAll() {
		this.heardAt.clear();
	}

	/**
	 * Whether this daemon hears from more than half of the registered daemons.
	 * @return false also if it isn't known how many are registered
	 */
	public boolean withMajority() {
		long now = this.clock.nanos();
		this.heardAt.values().removeIf((at) -> now - at > TIMEOUT.toNanos());
		int registered = this.fleet.registered();
		return registered > 0 && 2 * this.fleet.reached(this.heardAt.keySet()) > registered;
	}

}
