package org.bramleyscale.internal.routing.baseline;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import com.google.common.hash.Hashing;
import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingRequest;

/**
 * Operations that the baseline policies share. Stateless.
 */
final class Baselines {

	private Baselines() {
	}

	static boolean hasRoom(RoutingRequest request, Candidate candidate) {
		return candidate.grantSlots() > 0 && candidate.grantKvTokens() >= request.kvTokens();
	}

	static RoutingChoice choice(int index) {
		return (index < 0) ? RoutingChoice.WAIT : new RoutingChoice(index, 0, 0);
	}

	/**
	 * Chooses the candidate with room in its grant and the least load, at random among
	 * equally loaded ones.
	 * @param request the request
	 * @param candidates the candidates
	 * @param load returns the load of a candidate
	 * @param random the source of randomness
	 * @return the index, or -1 if no candidate has room
	 */
	static int leastLoaded(RoutingRequest request, List<Candidate> candidates, ToDoubleFunction<Candidate> load,
			RandomGenerator random) {
		int best = -1;
		int ties = 0;
		double least = Double.POSITIVE_INFINITY;
		for (int i = 0; i < candidates.size(); i++) {
			if (!hasRoom(request, candidates.get(i))) {
				continue;
			}
			double candidateLoad = load.applyAsDouble(candidates.get(i));
			if (candidateLoad < least) {
				least = candidateLoad;
				ties = 0;
			}
			if (candidateLoad == least && random.nextInt(++ties) == 0) {
				best = i;
			}
		}
		return best;
	}

	static int random(RoutingRequest request, List<Candidate> candidates, RandomGenerator random) {
		return leastLoaded(request, candidates, (candidate) -> 0, random);
	}

	/**
	 * Chooses a candidate for a prefix by rendezvous hashing.
	 * @param request the request
	 * @param candidates the candidates
	 * @param excluded an index to exclude, or -1
	 * @return the index of the candidate with room and the highest hash, or -1 if there
	 * is none
	 */
	static int highestHash(RoutingRequest request, List<Candidate> candidates, int excluded) {
		int best = -1;
		long highest = Long.MIN_VALUE;
		for (int i = 0; i < candidates.size(); i++) {
			long hash = hash(request.prefix(), candidates.get(i));
			if (i != excluded && hasRoom(request, candidates.get(i)) && (best < 0 || hash > highest)) {
				best = i;
				highest = hash;
			}
		}
		return best;
	}

	private static long hash(long prefix, Candidate candidate) {
		return Hashing.murmur3_128()
			.newHasher()
			.putLong(prefix)
			.putUnencodedChars(candidate.endpoint().value())
			.hash()
			.asLong();
	}

}
