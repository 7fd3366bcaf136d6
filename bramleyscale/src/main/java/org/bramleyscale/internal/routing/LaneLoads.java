package org.bramleyscale.internal.routing;

import java.util.Arrays;
import java.util.List;

import org.bramleyscale.internal.time.Clock;

/**
 * How much of a pool's capacity each lane keeps busy, by the reports.
 *
 * <p>
 * Reports cover all entries and reach them all, so entries agree about these figures; one
 * entry's own requests would tell too little of the rare long prompts. A lane that is
 * always busy shows its whole capacity as load and so gets a part of what others spare.
 * Confined to the scheduler's thread.
 */
final class LaneLoads {

	private static final int LANES = Lane.values().length;

	private static final double MEMORY_NANOS = 60e9;

	/** Assumed until reports were seen. */
	private static final double[] INITIAL = { 0.05, 0.1, 0.4 };

	/**
	 * How busy each lane's endpoints look in reports when the lane can do no more: long
	 * work leaves gaps while the next prompt is on its way.
	 */
	private static final double[] FULL = { 1, 1, 0.95 };

	private final Clock clock;

	private final double[] loads = INITIAL.clone();

	private final double[] sample = new double[LANES];

	private long updated;

	LaneLoads(Clock clock) {
		this.clock = clock;
		this.updated = clock.nanos();
	}

	/**
	 * Takes in the reports that the candidates carry.
	 * @param candidates the candidates
	 * @param speeds their speeds
	 * @param plan the lanes they are in
	 */
	void seen(List<Candidate> candidates, double[] speeds, LanePlan plan) {
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
		double gain = 1 - Math.exp((this.updated - now) / MEMORY_NANOS);
		this.updated = now;
		for (int i = 0; i < LANES; i++) {
			this.loads[i] += gain * (this.sample[i] / total - this.loads[i]);
		}
	}

	/**
	 * One lane's load as a part of the pool's capacity.
	 * @param lane the lane
	 * @return from 0 to 1
	 */
	double load(Lane lane) {
		return this.loads[lane.ordinal()] / FULL[lane.ordinal()];
	}

	double spare() {
		double spare = 1;
		for (int i = 0; i < LANES; i++) {
			spare -= this.loads[i] / FULL[i];
		}
		return Math.max(0, spare);
	}

}
