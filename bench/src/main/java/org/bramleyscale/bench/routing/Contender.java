package org.bramleyscale.bench.routing;

import java.util.Set;

import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.routing.SpeedEstimator;
import org.bramleyscale.internal.time.Clock;

/**
 * A routing policy and the mechanisms around it that are in use.
 *
 * @param name its name in the table
 * @param policies makes the policy of one entry
 * @param mechanisms the mechanisms in use
 */
record Contender(String name, PolicyFactory policies, Set<Mechanism> mechanisms) {

	Contender {
		mechanisms = Set.copyOf(mechanisms);
	}

	boolean uses(Mechanism mechanism) {
		return this.mechanisms.contains(mechanism);
	}

	/**
	 * Makes the policy of one entry.
	 */
	@FunctionalInterface
	interface PolicyFactory {

		RoutingPolicy create(Clock clock, int entry, SpeedEstimator speeds);

	}

}
