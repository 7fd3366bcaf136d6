package org.bramleyscale.internal.gateway.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Samples the engines from which the target of a short prompt is chosen.
 *
 * <p>
 * If network delays are given, one of the sample is an engine in the nearest data centre,
 * so that among equal engines a near one is chosen. It takes the place of another, so the
 * sample doesn't grow: in a larger one, daemons that learn each other's load late choose
 * the same few engines. Stateless and safe for use by multiple threads.
 */
final class EngineSample {

	private EngineSample() {
	}

	/**
	 * Draws a sample.
	 * @param engines the engines
	 * @param size the size of the sample
	 * @param random the random generator
	 * @return different engines, all if there are no more than the size
	 */
	static List<Candidate> of(List<Candidate> engines, int size, RandomGenerator random) {
		List<Candidate> remaining = new ArrayList<>(engines);
		List<Candidate> sample = new ArrayList<>();
		double nearest = engines.stream().mapToDouble(Candidate::distanceMillis).min().orElse(0);
		List<Candidate> near = engines.stream().filter((engine) -> engine.distanceMillis() <= nearest).toList();
		if (near.size() < engines.size()) {
			Candidate first = near.get(random.nextInt(near.size()));
			sample.add(first);
			remaining.remove(first);
		}
		while (sample.size() < size && !remaining.isEmpty()) {
			sample.add(remaining.remove(random.nextInt(remaining.size())));
		}
		return sample;
	}

}
