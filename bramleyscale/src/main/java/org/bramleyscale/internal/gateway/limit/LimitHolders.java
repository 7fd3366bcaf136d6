package org.bramleyscale.internal.gateway.limit;

import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * The order of daemons in which they use a limited endpoint, alike on all that know the
 * same members.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
@FunctionalInterface
public interface LimitHolders {

	/** A daemon that callers don't use, or that leaves. */
	int NO_RANK = Integer.MAX_VALUE;

	/**
	 * This daemon's place.
	 * @param endpoint the endpoint
	 * @return 0 for the first, or {@link #NO_RANK}
	 */
	int rank(EndpointStart endpoint);

}
