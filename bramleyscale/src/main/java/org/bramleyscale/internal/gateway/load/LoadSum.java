package org.bramleyscale.internal.gateway.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The sum of the load of several daemons. Not safe for use by multiple threads.
 */
final class LoadSum {

	private final Map<String, LoadUpdate.Share> shares = new TreeMap<>();

	private final Map<String, LoadUpdate.Demand> demands = new TreeMap<>();

	/**
	 * Adds or subtracts load.
	 * @param addedShares load by endpoint
	 * @param addedDemands demand by service
	 * @param sign 1 to add, -1 to subtract
	 * @return this sum
	 */
	LoadSum accumulate(List<LoadUpdate.Share> addedShares, List<LoadUpdate.Demand> addedDemands, int sign) {
		for (LoadUpdate.Share added : addedShares) {
			LoadUpdate.Share current = this.shares.getOrDefault(added.endpoint(),
					LoadUpdate.Share.none(added.endpoint()));
			this.shares.put(added.endpoint(), new LoadUpdate.Share(added.endpoint(),
					current.active() + sign * added.active(), current.prefillMillis() + sign * added.prefillMillis(),
					current.tokens() + sign * added.tokens(), Math.max(current.oldestMillis(), added.oldestMillis()),
					latestPrefill(current, added), current.helping() + sign * added.helping(),
					Math.min(current.pauseMillis(), added.pauseMillis())));
		}
		for (LoadUpdate.Demand added : addedDemands) {
			LoadUpdate.Demand current = this.demands.getOrDefault(added.service(),
					new LoadUpdate.Demand(added.service(), 0, 0, 0, 0));
			this.demands.put(added.service(),
					new LoadUpdate.Demand(added.service(), current.shortActive() + sign * added.shortActive(),
							current.waiting() + sign * added.waiting(),
							current.waitingMillis() + sign * added.waitingMillis(),
							current.arrivedMillis() + sign * added.arrivedMillis()));
		}
		return this;
	}

	private static int latestPrefill(LoadUpdate.Share left, LoadUpdate.Share right) {
		if (left.doneMillis() < 0 || right.doneMillis() < 0) {
			return Math.max(left.doneMillis(), right.doneMillis());
		}
		return Math.min(left.doneMillis(), right.doneMillis());
	}

	/**
	 * The sum by endpoint.
	 * @return the load, without idle endpoints
	 */
	Map<String, LoadUpdate.Share> shares() {
		this.shares.values().removeIf(LoadUpdate.Share::idle);
		return this.shares;
	}

	List<LoadUpdate.Demand> demands() {
		return List.copyOf(this.demands.values());
	}

}
