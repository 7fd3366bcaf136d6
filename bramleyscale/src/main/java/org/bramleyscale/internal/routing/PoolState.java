package org.bramleyscale.internal.routing;

import java.util.Arrays;
import java.util.List;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.endpoint.Observation;
import org.bramleyscale.internal.time.Clock;

/**
 * The state that the predictive policy keeps for one pool of endpoints.
 *
 * <p>
 * The arrays hold values for the candidates of the last update. Confined to the
 * scheduler's thread.
 */
final class PoolState {

	private static final double DEFAULT_TOKENS_PER_SECOND = 5_000;

	/** Prompt tokens ahead of a short prompt that collides with another short one. */
	private static final double SHORT_COLLISION_TOKENS = 1_000;

	/** Below this fraction of blocked prompts, endpoints count as applying priorities. */
	private static final double MAX_BLOCKED_FRACTION = 0.2;

	private static final double CALL_GAIN = 0.1;

	private static final double DEFAULT_STEP_SECONDS = 0.03;

	private final LaneLoads loads;

	private final HeadOfLineBlocking blocking = new HeadOfLineBlocking();

	private final LanePlan plan = new LanePlan();

	private double[] speeds = {};

	private double[] sorted = {};

	private double medianSpeed;

	private double meanStep;

	private double callSeconds = DEFAULT_STEP_SECONDS;

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
	 * Returns the time between tokens of a candidate, or the pool's mean if it is
	 * unknown.
	 * @param candidate the candidate
	 * @return seconds
	 */
	double step(Candidate candidate) {
		return (candidate.stepSeconds() > 0) ? candidate.stepSeconds() : this.meanStep;
	}

	/**
	 * Returns the expected wait behind prompts that the endpoint's report doesn't show.
	 * @param lane the prompt's lane
	 * @param index the candidate
	 * @return seconds
	 */
	double interferenceSeconds(Lane lane, int index) {
		Lane endpointLane = this.plan.lane(index);
		if (endpointLane.compareTo(lane) > 0) {
			return this.blocking.blockedFraction() * endpointLane.typicalTokens() / this.speeds[index];
		}
		if (lane == Lane.SHORT && endpointLane == Lane.SHORT) {
			return this.loads.load(Lane.SHORT) / Math.max(0.01, this.plan.capacityShare(Lane.SHORT))
					* SHORT_COLLISION_TOKENS / this.speeds[index];
		}
		return 0;
	}

	/**
	 * Returns whether a lane's prompts may be sent to a candidate. Longer prompts are not
	 * sent to the endpoints of shorter ones. The exception is the medium lane, whose
	 * endpoints also take long prompts if endpoints apply priorities, since medium
	 * prompts then need no endpoints of their own.
	 * @param lane the prompt's lane
	 * @param index the candidate
	 * @return whether they may be sent there
	 */
	boolean admits(Lane lane, int index) {
		Lane endpointLane = this.plan.lane(index);
		if (endpointLane == Lane.MEDIUM && lane == Lane.LONG) {
			return this.blocking.blockedFraction() < MAX_BLOCKED_FRACTION;
		}
		return endpointLane.compareTo(lane) >= 0;
	}

	/**
	 * Returns the fraction of an endpoint's backlog that a prompt waits for.
	 * @param lane the prompt's lane
	 * @param index the candidate
	 * @return from 0 to 1
	 */
	double waitedFraction(Lane lane, int index) {
		return (this.plan.lane(index).compareTo(lane) > 0) ? this.blocking.blockedFraction() : 1;
	}

	/**
	 * Returns the smoothed time that a call of a plain service takes.
	 * @return seconds
	 */
	double callSeconds() {
		return this.callSeconds;
	}

	/**
	 * Records a short prompt or a call of a plain service.
	 * @param endpoint the endpoint it was sent to
	 * @param observation its measurements
	 */
	void observe(EndpointId endpoint, Observation observation) {
		if (observation.firstToken() == null || observation.failed()) {
			return;
		}
		double firstToken = observation.firstToken().toNanos() / 1e9;
		if (observation.promptTokens() == 0) {
			this.callSeconds += CALL_GAIN * (firstToken - this.callSeconds);
			return;
		}
		int index = this.plan.index(endpoint);
		if (index >= 0 && this.plan.lane(index) != Lane.SHORT) {
			this.blocking.observe(firstToken, observation.promptTokens() / this.speeds[index], this.meanStep);
		}
	}

	/**
	 * Updates the speeds, lanes and loads from the candidates of a decision.
	 * @param candidates the candidates, at least one
	 */
	void update(List<Candidate> candidates) {
		int count = candidates.size();
		if (this.speeds.length != count) {
			this.speeds = new double[count];
			this.sorted = new double[count];
		}
		updateDefaults(candidates);
		for (int i = 0; i < count; i++) {
			double speed = candidates.get(i).prefillTokensPerSecond();
			this.speeds[i] = (speed > 0) ? speed : this.medianSpeed;
		}
		this.plan.update(candidates, this.speeds, this.medianSpeed, this.loads);
		this.loads.update(candidates, this.speeds, this.plan);
	}

	private void updateDefaults(List<Candidate> candidates) {
		int knownSpeeds = 0;
		double stepSum = 0;
		int knownSteps = 0;
		for (Candidate candidate : candidates) {
			if (candidate.prefillTokensPerSecond() > 0) {
				this.sorted[knownSpeeds++] = candidate.prefillTokensPerSecond();
			}
			if (candidate.stepSeconds() > 0) {
				stepSum += candidate.stepSeconds();
				knownSteps++;
			}
		}
		Arrays.sort(this.sorted, 0, knownSpeeds);
		this.medianSpeed = (knownSpeeds > 0) ? this.sorted[knownSpeeds / 2] : DEFAULT_TOKENS_PER_SECOND;
		this.meanStep = (knownSteps > 0) ? stepSum / knownSteps : DEFAULT_STEP_SECONDS;
	}

}
