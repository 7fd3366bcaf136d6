package org.bramleyscale.internal.routing.baseline;

import java.util.List;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.routing.RoutingRequest;

/**
 * Chooses a random candidate with room in its grant. Stateless.
 */
public final class RandomPolicy implements RoutingPolicy {

	@Override
	public RoutingChoice choose(RoutingRequest request, List<Candidate> candidates, RandomGenerator random) {
		return Baselines.choice(Baselines.random(request, candidates, random));
	}

}
