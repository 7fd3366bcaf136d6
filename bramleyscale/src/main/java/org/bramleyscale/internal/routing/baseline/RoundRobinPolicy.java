package org.bramleyscale.internal.routing.baseline;

import java.util.List;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.routing.RoutingRequest;

/**
 * Chooses candidates in turn. Confined to the scheduler's thread.
 */
public final class RoundRobinPolicy implements RoutingPolicy {

	private int nextIndex;

	@Override
	public RoutingChoice choose(RoutingRequest request, List<Candidate> candidates, RandomGenerator random) {
		for (int i = 0; i < candidates.size(); i++) {
			int index = (this.nextIndex + i) % candidates.size();
			if (Baselines.hasRoom(request, candidates.get(index))) {
				this.nextIndex = index + 1;
				return Baselines.choice(index);
			}
		}
		return RoutingChoice.WAIT;
	}

}
