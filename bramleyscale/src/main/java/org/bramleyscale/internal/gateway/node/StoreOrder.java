package org.bramleyscale.internal.gateway.node;

import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;

import org.bramleyscale.internal.gateway.follow.FollowOrder;

/**
 * The rank of this daemon in the order in which daemons query the store.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class StoreOrder implements FollowOrder {

	private final IntSupplier currentRank;

	private final BooleanSupplier currentlyIsolated;

	private final BooleanSupplier othersKnown;

	/**
	 * Creates the order.
	 * @param currentRank the rank
	 * @param currentlyIsolated whether no peer can be relied on
	 * @param othersKnown whether the fleet has other daemons
	 */
	StoreOrder(IntSupplier currentRank, BooleanSupplier currentlyIsolated, BooleanSupplier othersKnown) {
		this.currentRank = currentRank;
		this.currentlyIsolated = currentlyIsolated;
		this.othersKnown = othersKnown;
	}

	@Override
	public int rank() {
		return this.currentRank.getAsInt();
	}

	@Override
	public boolean isolated() {
		return this.currentlyIsolated.getAsBoolean();
	}

	@Override
	public boolean hasPeers() {
		return this.othersKnown.getAsBoolean();
	}

}
