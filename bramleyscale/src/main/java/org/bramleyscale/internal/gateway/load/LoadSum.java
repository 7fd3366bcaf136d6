package org.bramleyscale.internal.gateway.load;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Adds up what daemons tell. Not safe for use by multiple threads.
 */
final class LoadSum {

	private final Map<String, LoadTold.Share> shares = new TreeMap<>();

	private final Map<String, LoadTold.Demand> demands = new TreeMap<>();

	/**
	 * Adds or takes away.
	 * @param toldShares work by endpoint
	 * @param toldDemands demand by service
	 * @param sign 1 to add, -1 to take away
	 * @return this sum
	 */
	LoadSum add(List<LoadTold.Share> toldShares, List<LoadTold.Demand> toldDemands, int sign) {
		for (LoadTold.Share told : toldShares) {
			LoadTold.Share held = this.shares.getOrDefault(told.endpoint(), LoadTold.Share.nothing(told.endpoint()));
			this.shares.put(told.endpoint(),
					new LoadTold.Share(told.endpoint(), held.active() + sign * told.active(),
							held.readMillis() + sign * told.readMillis(), held.tokens() + sign * told.tokens(),
							Math.max(held.oldestMillis(), told.oldestMillis()), latest(held, told),
							held.helping() + sign * told.helping(), Math.min(held.pauseMillis(), told.pauseMillis())));
		}
		for (LoadTold.Demand told : toldDemands) {
			LoadTold.Demand held = this.demands.getOrDefault(told.service(),
					new LoadTold.Demand(told.service(), 0, 0, 0));
			this.demands.put(told.service(),
					new LoadTold.Demand(told.service(), held.shortActive() + sign * told.shortActive(),
							held.waiting() + sign * told.waiting(),
							held.waitingMillis() + sign * told.waitingMillis()));
		}
		return this;
	}

	private static int latest(LoadTold.Share left, LoadTold.Share right) {
		if (left.doneMillis() < 0 || right.doneMillis() < 0) {
			return Math.max(left.doneMillis(), right.doneMillis());
		}
		return Math.min(left.doneMillis(), right.doneMillis());
	}

	/**
	 * The sum by endpoint.
	 * @return the work, without endpoints that have nothing to do
	 */
	Map<String, LoadTold.Share> shares() {
		this.shares.values().removeIf(LoadTold.Share::idle);
		return this.shares;
	}

	List<LoadTold.Demand> demands() {
		return List.copyOf(this.demands.values());
	}

}
