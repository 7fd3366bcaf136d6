package org.bramleyscale.bench.experiment;

import org.bramleyscale.internal.gateway.placement.PlacementPolicy;

/**
 * Makes the policy of a daemon. Implementations are safe for use by multiple threads.
 */
@FunctionalInterface
interface PolicyFactory {

	/**
	 * Makes a policy.
	 * @param daemon what the daemon knows
	 * @return the policy, used by the daemon's play only
	 */
	PlacementPolicy create(PlayedDaemon daemon);

}
