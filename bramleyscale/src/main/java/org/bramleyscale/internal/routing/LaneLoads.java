package org.bramleyscale.internal.routing;

import java.util.Arrays;
import java.util.List;

import org.bramleyscale.internal.time.Clock;

/**
 * The load of each lane as a fraction of the pool's capacity, according to the reports.
 *
 * <p>
 * Reports cover the requests of all daemons and reach all of them, so daemons agree on
 * these figures; the requests of a single daemon would contain too few of the rare long
 * prompts. A lane that is always busy shows its whole capacity as load and so gets a
 * share of the capacity that the others don't use. Confined to the scheduler's thread.
 */
final class LaneLoads {

	private static final int LANES = Lane.values().length;

	private static final double TIME_CONSTANT_NANOS = 60e9;

	/** The loads assumed before the first reports. */
	private static final double[] INITIAL_LOADS = { 0.05, 0.1, 0.4 };

	/**
	 * The fraction of time for which reports show the endpoints of a saturated lane as
	 * busy; with long prompts it is lower because of gaps until the next prompt arrives.
	 */
	private static final double[] SATURATED_LOADS = { 1, 1, 0.95 };

	private final Clock clock;

	private final double[] loads = INITIAL_LOADS.clone();

	private final double[] sample = new double[LANES];

	private long updated;

	LaneLoads(Clock clock) {
		this.clock = clock;
		this.updated = clock.nanos();
	}

	/**
	 * Updates the loads from the reports of the candidates.
	 * @param candidates the candidates
	 * @param speeds their speeds
	 * @param plan assigns the candidates to lanes
	 */
	void update(List<Candidate> candidates, double[] speeds, LanePlan plan) {
		long now = this.clock.nanos();
		if (now == this.updated) {
			return;
		}
		double total = 0;
		Arrays.fill(this.sample, 0);
		for (int i = 0; i < candidates.size(); i++) {
			total += speeds[i];
			if (candidates.get(i).queuedPrefillTokens() > 0) {
				this.sample[plan.lane(i).ordinal()] += speeds[i];
			}
		}
		double gain = 1 - Math.exp((this.updated - now) / TIME_CONSTANT_NANOS);
		this.updated = now;
		for (int i = 0; i < LANES; i++) {
			this.loads[i] += gain * (this.sample[i] / total - this.loads[i]);
		}
	}

	/**
	 * Returns the load of a lane as a fraction of the pool's capacity.
	 * @param lane the lane
	 * @return from 0 to 1
	 */
	double load(Lane lane) {
		return this.loads[lane.ordinal()] / SATURATED_LOADS[lane.ordinal()];
	}

	double spare() {
		double spare = 1;
		for (int i = 0; i < LANES; i++) {
			spare -= this.loads[i] / SATURATED_LOADS[i];
		}
		return Math.max(0, spare);
	}

}
