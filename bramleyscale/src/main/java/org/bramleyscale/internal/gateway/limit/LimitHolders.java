package org.bramleyscale.internal.gateway.limit;

import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * Ranks daemons as holders of an endpoint's limit. Daemons that know the same members
 * compute the same ranking.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
@FunctionalInterface
public interface LimitHolders {

	/**
	 * The rank of a daemon that receives no requests from callers, or that is leaving.
	 */
	int NO_RANK = Integer.MAX_VALUE;

	/**
	 * This daemon's rank.
	 * @param endpoint the endpoint
	 * @return the rank, 0 for the first holder, or {@link #NO_RANK}
	 */
	int rank(EndpointStart endpoint);

}
