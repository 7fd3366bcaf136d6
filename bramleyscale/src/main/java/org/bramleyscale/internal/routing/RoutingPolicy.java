package org.bramleyscale.internal.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the endpoint for one request.
 *
 * <p>
 * Deterministic given its arguments and its own state. Implementations that keep state
 * are confined to the scheduler's thread.
 */
@FunctionalInterface
public interface RoutingPolicy {

	/**
	 * Chooses among candidates.
	 * @param request the request
	 * @param candidates the candidates; those without room in their grant must not be
	 * chosen
	 * @param random the only source of randomness
	 * @return the choice
	 */
	RoutingChoice choose(RoutingRequest request, List<Candidate> candidates, RandomGenerator random);

}
