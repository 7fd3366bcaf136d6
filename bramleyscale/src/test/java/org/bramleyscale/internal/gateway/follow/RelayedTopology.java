package org.bramleyscale.internal.gateway.follow;

import java.util.HashSet;
import java.util.Set;

/**
 * A large fleet in two data centres. Ranks 0 and 1 are the relays of the watchers' data
 * centre, 2 and 3 those of the other one, which has all other daemons; these are
 * connected to their relays and to four of the others.
 *
 * <p>
 * Immutable.
 */
final class RelayedTopology implements SimulatedFleet.Topology {

	/** The number of relays in both data centres, which have the first ranks. */
	static final int RELAYS = 4;

	private static final Set<Integer> WATCHING = Set.of(0, 1);

	private static final Set<Integer> FORWARDING = Set.of(2, 3);

	private final int leaves;

	/**
	 * Creates the topology.
	 * @param leaves the number of daemons that aren't relays
	 */
	RelayedTopology(int leaves) {
		this.leaves = leaves;
	}

	@Override
	public Set<Integer> connected(int rank) {
		if (rank >= RELAYS) {
			int index = rank - RELAYS;
			Set<Integer> connected = new HashSet<>(FORWARDING);
			for (int step : new int[] { 1, 5, this.leaves - 5, this.leaves - 1 }) {
				connected.add(RELAYS + (index + step) % this.leaves);
			}
			return connected;
		}
		return originRecipients(rank);
	}

	@Override
	public Set<Integer> originRecipients(int rank) {
		Set<Integer> recipients = new HashSet<>(FORWARDING);
		if (rank < RELAYS) {
			recipients.addAll(WATCHING);
		}
		if (FORWARDING.contains(rank)) {
			recipients.addAll(leaves());
		}
		recipients.remove(rank);
		return recipients;
	}

	@Override
	public Set<Integer> forwardRecipients(int rank, int from) {
		if (!FORWARDING.contains(rank)) {
			return Set.of();
		}
		Set<Integer> recipients = leaves();
		if (from >= RELAYS) {
			recipients.addAll(WATCHING);
		}
		recipients.remove(from);
		return recipients;
	}

	private Set<Integer> leaves() {
		Set<Integer> ranks = new HashSet<>();
		for (int rank = RELAYS; rank < RELAYS + this.leaves; rank++) {
			ranks.add(rank);
		}
		return ranks;
	}

}
