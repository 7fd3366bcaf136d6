package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.routing.Candidate;

/**
 * Small questions about candidates and predictions. Stateless.
 */
final class Sizes {

	private Sizes() {
	}

	/**
	 * Whether a need is larger than any single candidate's memory.
	 * @param kvTokens the need
	 * @param candidates the candidates
	 * @return false also if no candidate's memory is known
	 */
	static boolean exceedsEach(long kvTokens, List<Candidate> candidates) {
		long largest = 0;
		for (Candidate candidate : candidates) {
			largest = Math.max(largest, candidate.kvCapacity());
		}
		return largest > 0 && kvTokens > largest;
	}

	static List<Candidate> without(Set<EndpointId> excluded, List<Candidate> candidates) {
		if (excluded.isEmpty()) {
			return candidates;
		}
		return candidates.stream().filter((candidate) -> !excluded.contains(candidate.endpoint())).toList();
	}

	/**
	 * A prediction as a duration.
	 * @param nanos the prediction, the largest long if there is none
	 * @return the duration, or null if there is no prediction
	 */
	static Duration known(long nanos) {
		return (nanos != Long.MAX_VALUE) ? Duration.ofNanos(Math.max(0, nanos)) : null;
	}

	static Duration orZero(Duration prediction) {
		return (prediction != null) ? prediction : Duration.ZERO;
	}

}
