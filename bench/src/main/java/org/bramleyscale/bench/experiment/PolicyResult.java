package org.bramleyscale.bench.experiment;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;

/**
 * What one policy brought over all seeds.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param policy the policy's name
 * @param plays what callers got by kind, for each seed
 */
record PolicyResult(String policy, List<Map<String, KindOutcome>> plays) {

	private static final double CONFIDENCE = 0.95;

	Map<String, KindOutcome> total() {
		Map<String, KindOutcome> total = new LinkedHashMap<>();
		this.plays.forEach((play) -> play
			.forEach((kind, outcome) -> total.computeIfAbsent(kind, (name) -> new KindOutcome()).add(outcome)));
		return total;
	}

	/**
	 * What callers got of what they would get if all answers were in time.
	 * @param seed the play's number
	 * @return the part, 0 to 1
	 */
	double worth(int seed) {
		double earned = 0;
		double owed = 0;
		for (KindOutcome outcome : this.plays.get(seed).values()) {
			earned += outcome.earned;
			owed += outcome.owed;
		}
		return (owed > 0) ? earned / owed : 0;
	}

	double meanWorth() {
		SummaryStatistics worths = new SummaryStatistics();
		for (int seed = 0; seed < this.plays.size(); seed++) {
			worths.addValue(worth(seed));
		}
		return worths.getMean();
	}

	/**
	 * How much more worth than another policy, compared seed by seed.
	 * @param base the other policy
	 * @return the mean and half of its 95 % interval, which is 0 for a single seed
	 */
	Difference against(PolicyResult base) {
		SummaryStatistics differences = new SummaryStatistics();
		for (int seed = 0; seed < this.plays.size(); seed++) {
			differences.addValue(worth(seed) - base.worth(seed));
		}
		long count = differences.getN();
		if (count < 2) {
			return new Difference(differences.getMean(), 0);
		}
		double t = new TDistribution(count - 1).inverseCumulativeProbability((1 + CONFIDENCE) / 2);
		return new Difference(differences.getMean(), t * differences.getStandardDeviation() / Math.sqrt(count));
	}

	/**
	 * A paired difference.
	 *
	 * @param mean its mean
	 * @param half half of its 95 % interval
	 */
	record Difference(double mean, double half) {
	}

}
