package org.bramleyscale.internal.routing;

import java.util.Arrays;
import java.util.List;

import org.bramleyscale.internal.time.Clock;

/**
 * What the predictive policy knows of one pool of endpoints.
 *
 * <p>
 * The arrays hold values for the candidates of the last call. Confined to the scheduler's
 * thread.
 */
final class PoolState {

	private static final double ASSUMED_TOKENS_PER_SECOND = 5_000;

	private static final double ASSUMED_STEP_SECONDS = 0.03;

	private final LaneLoads loads;

	private final LanePlan plan = new LanePlan();

	private double[] speeds = {};

	private double[] sorted = {};

	private double usualSpeed;

	private double usualStep;

	PoolState(Clock clock) {
		this.loads = new LaneLoads(clock);
	}

	LanePlan plan() {
		return this.plan;
	}

	double speed(int index) {
		return this.speeds[index];
	}

	/**
	 * The time between tokens of a candidate, or the usual one if it is unknown.
	 * @param candidate the candidate
	 * @return seconds
	 */
	double step(Candidate candidate) {
		return (candidate.stepSeconds() > 0) ? candidate.stepSeconds() : this.usualStep;
	}

	/**
	 * Takes in the candidates of a call.
	 * @param candidates the candidates, at least one
	 */
	void update(List<Candidate> candidates) {
		int count = candidates.size();
		if (this.speeds.length != count) {
			this.speeds = new double[count];
			this.sorted = new double[count];
		}
		learnUsual(candidates);
		for (int i = 0; i < count; i++) {
			double speed = candidates.get(i).prefillTokensPerSecond();
			this.speeds[i] = (speed > 0) ? speed : this.usualSpeed;
		}
		this.plan.update(candidates, this.speeds, this.usualSpeed, this.loads);
		this.loads.seen(candidates, this.speeds, this.plan);
	}

	private void learnUsual(List<Candidate> candidates) {
		int learnt = 0;
		double steps = 0;
		int stepsLearnt = 0;
		for (Candidate candidate : candidates) {
			if (candidate.prefillTokensPerSecond() > 0) {
				this.sorted[learnt++] = candidate.prefillTokensPerSecond();
			}
			if (candidate.stepSeconds() > 0) {
				steps += candidate.stepSeconds();
				stepsLearnt++;
			}
		}
		Arrays.sort(this.sorted, 0, learnt);
		this.usualSpeed = (learnt > 0) ? this.sorted[learnt / 2] : ASSUMED_TOKENS_PER_SECOND;
		this.usualStep = (stepsLearnt > 0) ? steps / stepsLearnt : ASSUMED_STEP_SECONDS;
	}

}
