package org.bramleyscale.internal.gateway.placement;

/**
 * Decides where a request goes.
 *
 * <p>
 * Implementations read the daemon's beliefs and change nothing. Confined to the
 * scheduler's thread.
 */
@FunctionalInterface
public interface PlacementPolicy {

	/**
	 * Decides.
	 * @param request the request
	 * @return where it goes, or why it is refused
	 */
	Placement place(PlacementRequest request);

}
