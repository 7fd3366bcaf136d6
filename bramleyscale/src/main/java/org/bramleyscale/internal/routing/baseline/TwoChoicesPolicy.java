package org.bramleyscale.internal.routing.baseline;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.routing.RoutingRequest;

/**
 * Draws two random candidates and chooses the one whose report shows fewer requests.
 * Stateless.
 */
public final class TwoChoicesPolicy implements RoutingPolicy {

	@Override
	public RoutingChoice choose(RoutingRequest request, List<Candidate> candidates, RandomGenerator random) {
		List<Integer> eligible = new ArrayList<>();
		for (int i = 0; i < candidates.size(); i++) {
			if (Baselines.hasRoom(request, candidates.get(i))) {
				eligible.add(i);
			}
		}
		if (eligible.isEmpty()) {
			return RoutingChoice.WAIT;
		}
		int first = eligible.remove(random.nextInt(eligible.size()));
		if (eligible.isEmpty()) {
			return Baselines.choice(first);
		}
		int second = eligible.get(random.nextInt(eligible.size()));
		boolean firstLessLoaded = load(candidates.get(first)) <= load(candidates.get(second));
		return Baselines.choice(firstLessLoaded ? first : second);
	}

	private static int load(Candidate candidate) {
		return candidate.running() + candidate.waiting();
	}

}
