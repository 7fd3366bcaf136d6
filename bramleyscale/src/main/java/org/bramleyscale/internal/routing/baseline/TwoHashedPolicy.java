package org.bramleyscale.internal.routing.baseline;

import java.util.List;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.routing.RoutingRequest;

/**
 * Sends prompts with the same prefix to the less loaded of two candidates selected by
 * hash, and others to the less loaded of two random candidates. Stateless.
 */
public final class TwoHashedPolicy implements RoutingPolicy {

	private final RoutingPolicy withoutPrefix = new TwoChoicesPolicy();

	@Override
	public RoutingChoice choose(RoutingRequest request, List<Candidate> candidates, RandomGenerator random) {
		if (request.prefix() == 0) {
			return this.withoutPrefix.choose(request, candidates, random);
		}
		int first = Baselines.highestHash(request, candidates, -1);
		if (first < 0) {
			return RoutingChoice.WAIT;
		}
		int second = Baselines.highestHash(request, candidates, first);
		boolean firstLessLoaded = second < 0 || load(candidates.get(first)) <= load(candidates.get(second));
		return Baselines.choice(firstLessLoaded ? first : second);
	}

	private static long load(Candidate candidate) {
		return candidate.queuedPrefillTokens() + candidate.ownPrefillTokens();
	}

}
