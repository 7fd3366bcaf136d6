package org.bramleyscale.internal.routing;

import java.util.Arrays;
import java.util.List;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.endpoint.Observation;
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

	/** What a short prompt finds ahead of it when it meets another. */
	private static final double SHORT_COLLISION_TOKENS = 1_000;

	/** Below this, priorities count as honoured. */
	private static final double LARGEST_BLOCKED_PART = 0.2;

	private static final double REPLY_GAIN = 0.1;

	private static final double ASSUMED_STEP_SECONDS = 0.03;

	private final LaneLoads loads;

	private final Blocking blocking = new Blocking();

	private final LanePlan plan = new LanePlan();

	private double[] speeds = {};

	private double[] sorted = {};

	private double usualSpeed;

	private double usualStep;

	private double replySeconds = ASSUMED_STEP_SECONDS;

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
	 * The wait to expect behind prompts that the report doesn't show.
	 * @param lane the prompt's lane
	 * @param index the candidate
	 * @return seconds
	 */
	double interference(Lane lane, int index) {
		Lane other = this.plan.lane(index);
		if (other.compareTo(lane) > 0) {
			return this.blocking.part() * other.typicalTokens() / this.speeds[index];
		}
		if (lane == Lane.SHORT && other == Lane.SHORT) {
			return this.loads.load(Lane.SHORT) / Math.max(0.01, this.plan.part(Lane.SHORT)) * SHORT_COLLISION_TOKENS
					/ this.speeds[index];
		}
		return 0;
	}

	/**
	 * Whether a prompt may go to a candidate at all. Longer prompts stay away from the
	 * endpoints of shorter ones; where priorities are honoured, medium prompts need no
	 * endpoints of their own.
	 * @param lane the prompt's lane
	 * @param index the candidate
	 * @return true if it may
	 */
	boolean admits(Lane lane, int index) {
		Lane other = this.plan.lane(index);
		if (other == Lane.MEDIUM && lane == Lane.LONG) {
			return this.blocking.part() < LARGEST_BLOCKED_PART;
		}
		return other.compareTo(lane) >= 0;
	}

	/**
	 * The part of the work ahead at an endpoint that a prompt waits for.
	 * @param lane the prompt's lane
	 * @param index the candidate
	 * @return from 0 to 1
	 */
	double blockedPart(Lane lane, int index) {
		return (this.plan.lane(index).compareTo(lane) > 0) ? this.blocking.part() : 1;
	}

	/**
	 * How long a call of a plain service takes.
	 * @return seconds
	 */
	double replySeconds() {
		return this.replySeconds;
	}

	/**
	 * Learns from a short prompt or a call of a plain service.
	 * @param endpoint where it was
	 * @param observation what was seen
	 */
	void observed(EndpointId endpoint, Observation observation) {
		if (observation.firstToken() == null || observation.failed()) {
			return;
		}
		double taken = observation.firstToken().toNanos() / 1e9;
		if (observation.promptTokens() == 0) {
			this.replySeconds += REPLY_GAIN * (taken - this.replySeconds);
			return;
		}
		int index = this.plan.index(endpoint);
		if (index >= 0 && this.plan.lane(index) != Lane.SHORT) {
			this.blocking.observed(taken, observation.promptTokens() / this.speeds[index], this.usualStep);
		}
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
