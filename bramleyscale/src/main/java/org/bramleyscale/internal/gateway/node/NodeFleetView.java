package org.bramleyscale.internal.gateway.node;

import java.util.OptionalInt;
import java.util.function.BooleanSupplier;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.load.LoadExchange;
import org.bramleyscale.internal.gateway.load.LoadTracker;

/**
 * The view of the fleet that the components of a daemon provide. Confined to the
 * scheduler's thread.
 *
 * @param self the daemon's VM
 * @param configurationKnown whether it knows the configuration and endpoints
 * @param daemons the platform's list
 * @param exchange detects unresponsive daemons
 * @param directory determines the relays
 * @param loads the active requests
 */
record NodeFleetView(VmId self, BooleanSupplier configurationKnown, RegisteredDaemons daemons, LoadExchange exchange,
		FleetDirectory directory, LoadTracker loads) implements FleetView {

	@Override
	public boolean configured() {
		return this.configurationKnown.getAsBoolean();
	}

	@Override
	public OptionalInt largestListed() {
		return this.daemons.largestOtherSizeClass(this.self);
	}

	@Override
	public boolean unresponsive(VmId vm) {
		return this.exchange.isUnresponsive(vm);
	}

	@Override
	public EntrySelection selection() {
		return this.directory.entrySelection();
	}

	@Override
	public int activeRequests() {
		return this.loads.activeRequests();
	}

}
