package org.bramleyscale.internal.gateway.follow;

import java.util.HashSet;
import java.util.Set;

/**
 * A large fleet of two data centres. Ranks 0 and 1 relay for the data centre of the
 * watchers, 2 and 3 for the other one, in which all others are; these know their relays
 * and four of each other.
 *
 * <p>
 * Immutable.
 */
final class RelayedTopology implements SimulatedFleet.Topology {

	/** The relays of both data centres, which have the first ranks. */
	static final int RELAYS = 4;

	private static final Set<Integer> WATCHING = Set.of(0, 1);

	private static final Set<Integer> FORWARDING = Set.of(2, 3);

	private final int leaves;

	/**
	 * Makes the topology.
	 * @param near the daemons that aren't relays
	 */
	RelayedTopology(int near) {
		this.leaves = near;
	}

	@Override
	public Set<Integer> connected(int rank) {
		if (rank >= RELAYS) {
			int place = rank - RELAYS;
			Set<Integer> known = new HashSet<>(FORWARDING);
			for (int step : new int[] { 1, 5, this.leaves - 5, this.leaves - 1 }) {
				known.add(RELAYS + (place + step) % this.leaves);
			}
			return known;
		}
		return firstHand(rank);
	}

	@Override
	public Set<Integer> firstHand(int rank) {
		Set<Integer> told = new HashSet<>(FORWARDING);
		if (rank < RELAYS) {
			told.addAll(WATCHING);
		}
		if (FORWARDING.contains(rank)) {
			told.addAll(leaves());
		}
		told.remove(rank);
		return told;
	}

	@Override
	public Set<Integer> passedOn(int rank, int from) {
		if (!FORWARDING.contains(rank)) {
			return Set.of();
		}
		Set<Integer> told = leaves();
		if (from >= RELAYS) {
			told.addAll(WATCHING);
		}
		told.remove(from);
		return told;
	}

	private Set<Integer> leaves() {
		Set<Integer> ranks = new HashSet<>();
		for (int rank = RELAYS; rank < RELAYS + this.leaves; rank++) {
			ranks.add(rank);
		}
		return ranks;
	}

}
