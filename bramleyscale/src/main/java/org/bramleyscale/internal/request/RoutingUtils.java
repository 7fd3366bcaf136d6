package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.routing.Candidate;

/**
 * Helper methods for routing candidates and predictions. Stateless.
 */
final class RoutingUtils {

	private RoutingUtils() {
	}

	/**
	 * Whether a request needs more memory than every single candidate has.
	 * @param kvTokens the needed memory, in KV tokens
	 * @param candidates the candidates
	 * @return true if it does; false also if the memory of no candidate is known
	 */
	static boolean exceedsEveryCandidate(long kvTokens, List<Candidate> candidates) {
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
	 * Converts a prediction to a duration.
	 * @param nanos the prediction in nanoseconds, or {@link Long#MAX_VALUE} if there is
	 * none
	 * @return the duration, or null if there is no prediction
	 */
	static Duration durationOrNull(long nanos) {
		return (nanos != Long.MAX_VALUE) ? Duration.ofNanos(Math.max(0, nanos)) : null;
	}

	static Duration orZero(Duration prediction) {
		return (prediction != null) ? prediction : Duration.ZERO;
	}

}
