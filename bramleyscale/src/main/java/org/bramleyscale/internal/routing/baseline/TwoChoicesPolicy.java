package org.bramleyscale.internal.routing.baseline;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.routing.RoutingRequest;

/**
 * Draws two candidates and chooses the one with fewer requests by its report. Stateless.
 */
public final class TwoChoicesPolicy implements RoutingPolicy {

	@Override
	public RoutingChoice choose(RoutingRequest request, List<Candidate> candidates, RandomGenerator random) {
		List<Integer> open = new ArrayList<>();
		for (int i = 0; i < candidates.size(); i++) {
			if (Baselines.hasRoom(request, candidates.get(i))) {
				open.add(i);
			}
		}
		if (open.isEmpty()) {
			return RoutingChoice.WAIT;
		}
		int first = open.remove(random.nextInt(open.size()));
		if (open.isEmpty()) {
			return Baselines.choice(first);
		}
		int second = open.get(random.nextInt(open.size()));
		boolean firstIsLess = load(candidates.get(first)) <= load(candidates.get(second));
		return Baselines.choice(firstIsLess ? first : second);
	}

	private static int load(Candidate candidate) {
		return candidate.running() + candidate.waiting();
	}

}
