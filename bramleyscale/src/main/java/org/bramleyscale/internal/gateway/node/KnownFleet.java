package org.bramleyscale.internal.gateway.node;

import java.util.OptionalInt;
import java.util.function.BooleanSupplier;

import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.load.LoadBoard;
import org.bramleyscale.internal.gateway.load.LoadExchange;

/**
 * What a daemon's slices know of the fleet. Confined to the scheduler's thread.
 *
 * @param self the daemon's VM
 * @param informedNow whether it knows the configuration and endpoints
 * @param daemons the platform's list
 * @param exchange hears the others
 * @param directory who relays
 * @param loads what is under way
 */
record KnownFleet(VmId self, BooleanSupplier informedNow, RegisteredDaemons daemons, LoadExchange exchange,
		FleetDirectory directory, LoadBoard loads) implements FleetKnowledge {

	@Override
	public boolean informed() {
		return this.informedNow.getAsBoolean();
	}

	@Override
	public OptionalInt largestListed() {
		return this.daemons.largestOther(this.self);
	}

	@Override
	public boolean unheard(VmId vm) {
		return this.exchange.unheard(vm);
	}

	@Override
	public EntrySelection selection() {
		return this.directory.entries();
	}

	@Override
	public int underWay() {
		return this.loads.underWay();
	}

}
