package org.bramleyscale.internal.gateway.placement;

/**
 * Decides which endpoints serve a request.
 *
 * <p>
 * Implementations read the daemon's view of endpoints and their load, and don't change
 * it. Confined to the scheduler's thread.
 */
@FunctionalInterface
public interface PlacementPolicy {

	/**
	 * Places a request.
	 * @param request the request
	 * @return the placement, which may be a refusal
	 */
	Placement place(PlacementRequest request);

}
