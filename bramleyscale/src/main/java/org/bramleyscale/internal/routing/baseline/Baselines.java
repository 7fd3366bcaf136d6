package org.bramleyscale.internal.routing.baseline;

import java.util.List;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

import com.google.common.hash.Hashing;
import org.bramleyscale.internal.routing.Candidate;
import org.bramleyscale.internal.routing.RoutingChoice;
import org.bramleyscale.internal.routing.RoutingRequest;

/**
 * What the simple policies share. Stateless.
 */
final class Baselines {

	private Baselines() {
	}

	static boolean hasRoom(RoutingRequest request, Candidate candidate) {
		return candidate.grantSlots() > 0 && candidate.grantKv() >= request.kvTokens();
	}

	static RoutingChoice choice(int index) {
		return (index < 0) ? RoutingChoice.WAIT : new RoutingChoice(index, 0, 0);
	}

	/**
	 * Chooses the candidate with room and the least load, at random among equals.
	 * @param request the request
	 * @param candidates the candidates
	 * @param load the load
	 * @param random the source of chance
	 * @return the index, or -1
	 */
	static int least(RoutingRequest request, List<Candidate> candidates, ToDoubleFunction<Candidate> load,
			RandomGenerator random) {
		int best = -1;
		int equals = 0;
		double least = Double.POSITIVE_INFINITY;
		for (int i = 0; i < candidates.size(); i++) {
			if (!hasRoom(request, candidates.get(i))) {
				continue;
			}
			double value = load.applyAsDouble(candidates.get(i));
			if (value < least) {
				least = value;
				equals = 0;
			}
			if (value == least && random.nextInt(++equals) == 0) {
				best = i;
			}
		}
		return best;
	}

	static int random(RoutingRequest request, List<Candidate> candidates, RandomGenerator random) {
		return least(request, candidates, (candidate) -> 0, random);
	}

	/**
	 * The candidate that rendezvous hashing gives to a prefix.
	 * @param request the request
	 * @param candidates the candidates
	 * @param without an index to leave out, or -1
	 * @return the index of the candidate with room and the highest hash, or -1
	 */
	static int home(RoutingRequest request, List<Candidate> candidates, int without) {
		int best = -1;
		long highest = Long.MIN_VALUE;
		for (int i = 0; i < candidates.size(); i++) {
			long hash = hash(request.prefix(), candidates.get(i));
			if (i != without && hasRoom(request, candidates.get(i)) && (best < 0 || hash > highest)) {
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
