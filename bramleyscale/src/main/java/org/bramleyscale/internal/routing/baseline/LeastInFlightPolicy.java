package org.bramleyscale.internal.routing.baseline;

import java.util.List;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.routing.RoutingRequest;

/**
 * Chooses the candidate with the fewest in-flight requests of this daemon. Stateless.
 */
public final class LeastInFlightPolicy implements RoutingPolicy {

	@Override
	public RoutingChoice choose(RoutingRequest request, List<Candidate> candidates, RandomGenerator random) {
		return Baselines.choice(Baselines.leastLoaded(request, candidates, Candidate::ownInFlight, random));
	}

}
