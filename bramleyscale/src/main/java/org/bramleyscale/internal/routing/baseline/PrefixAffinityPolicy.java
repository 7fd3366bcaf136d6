package org.bramleyscale.internal.routing.baseline;

import java.util.List;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.routing.RoutingRequest;

/**
 * Sends prompts with the same prefix to one candidate selected by hash, and others to a
 * random candidate. Stateless.
 */
public final class PrefixAffinityPolicy implements RoutingPolicy {

	@Override
	public RoutingChoice choose(RoutingRequest request, List<Candidate> candidates, RandomGenerator random) {
		if (request.prefix() == 0) {
			return Baselines.choice(Baselines.random(request, candidates, random));
		}
		return Baselines.choice(Baselines.highestHash(request, candidates, -1));
	}

}
