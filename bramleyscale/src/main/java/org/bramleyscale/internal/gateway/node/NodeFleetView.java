package org.bramleyscale.internal.gateway.node;

import java.util.Collection;
import java.util.OptionalInt;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.load.LoadExchange;
import org.bramleyscale.internal.gateway.load.LoadTracker;
import org.bramleyscale.internal.gateway.reachability.FleetReachability;

/**
 * The view of the fleet that the components of a daemon provide. Confined to the
 * scheduler's thread.
 *
 * @param self the daemon's VM
 * @param configurationKnown whether it knows the configuration and endpoints
 * @param daemons the platform's list
 * @param exchange detects unresponsive daemons
 * @param reachability knows which daemons are cut off from endpoints
 * @param directory determines the relays
 * @param loads the active requests
 */
record NodeFleetView(VmId self, BooleanSupplier configurationKnown, RegisteredDaemons daemons, LoadExchange exchange,
		FleetReachability reachability, FleetDirectory directory, LoadTracker loads) implements FleetView {

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
	public Set<VmId> cutOff(Collection<VmId> daemons) {
		return this.reachability.cutOff(daemons);
	}

	@Override
	public boolean informed() {
		return this.reachability.informed();
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
