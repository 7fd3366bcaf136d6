package org.bramleyscale.internal.routing;

import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Chooses the endpoint with the earliest predicted first token.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
public final class PredictivePolicy implements RoutingPolicy {

	private static final double ASSUMED_TOKENS_PER_SECOND = 5000;

	private static final double ASSUMED_STEP_SECONDS = 0.03;

	@Override
	public RoutingChoice choose(RoutingRequest request, List<Candidate> candidates, RandomGenerator random) {
		int best = -1;
		double bestSeconds = Double.POSITIVE_INFINITY;
		for (int i = 0; i < candidates.size(); i++) {
			Candidate candidate = candidates.get(i);
			if (candidate.grantSlots() <= 0 || candidate.grantKv() < request.kvTokens()) {
				continue;
			}
			double seconds = firstTokenSeconds(request, candidate);
			if (seconds < bestSeconds) {
				best = i;
				bestSeconds = seconds;
			}
		}
		if (best < 0) {
			return RoutingChoice.WAIT;
		}
		double finish = bestSeconds + request.maxTokens() * step(candidates.get(best));
		return new RoutingChoice(best, (long) (bestSeconds * 1e9), (long) (finish * 1e9));
	}

	private static double firstTokenSeconds(RoutingRequest request, Candidate candidate) {
		double speed = (candidate.prefillTokensPerSecond() > 0) ? candidate.prefillTokensPerSecond()
				: ASSUMED_TOKENS_PER_SECOND;
		double ahead = candidate.queuedPrefillTokens() + candidate.ownPrefillTokens();
		return step(candidate) + (ahead + request.promptTokens()) / speed + candidate.penaltySeconds();
	}

	private static double step(Candidate candidate) {
		return (candidate.stepSeconds() > 0) ? candidate.stepSeconds() : ASSUMED_STEP_SECONDS;
	}

}
