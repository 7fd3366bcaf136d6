package org.bramleyscale.internal.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.bramleyscale.EndpointId;

/**
 * Partitions a pool's endpoints into lanes for short, medium and long prompts.
 *
 * <p>
 * All daemons sort the endpoints in the same order and partition them by the same rule,
 * so their lanes agree as far as their estimates of endpoint speeds and lane loads agree.
 * Each lane gets capacity for its load and a share of the spare capacity; the short lane
 * gets the largest share, since its waiting time matters most. Invariant: every candidate
 * is in exactly one lane. Confined to the scheduler's thread.
 */
final class LanePlan {

	/** Shares of the spare capacity, by lane. */
	private static final double[] SPARE_SHARES = { 0.6, 0.1, 0.3 };

	/** Maximum load of the short lane, even when the pool is overloaded. */
	private static final double MAX_SHORT_LANE_LOAD = 0.6;

	private final List<EndpointId> endpoints = new ArrayList<>();

	private long[] hashes = {};

	private int[] speedClasses = {};

	private Integer[] order = {};

	private int[] ranks = {};

	private Lane[] lanes = {};

	private final int[] laneSizes = new int[Lane.values().length];

	private final double[] capacityShares = new double[Lane.values().length];

	/**
	 * Recomputes the lanes.
	 * @param candidates the candidates
	 * @param speeds their speeds
	 * @param medianSpeed the median speed of the pool
	 * @param loads the lanes' loads
	 */
	void update(List<Candidate> candidates, double[] speeds, double medianSpeed, LaneLoads loads) {
		boolean changed = trackCandidates(candidates);
		if (updateSpeedClasses(speeds, medianSpeed) || changed) {
			Arrays.sort(this.order, this::compare);
		}
		partition(speeds, loads);
	}

	Lane lane(int index) {
		return this.lanes[index];
	}

	/**
	 * Returns the rank of a candidate within its lane.
	 * @param index the candidate's index at the last update
	 * @return the rank, from 0
	 */
	int rank(int index) {
		return this.ranks[index];
	}

	int size(Lane lane) {
		return this.laneSizes[lane.ordinal()];
	}

	/**
	 * Returns the share of the pool's capacity that a lane has.
	 * @param lane the lane
	 * @return from 0 to 1
	 */
	double capacityShare(Lane lane) {
		return this.capacityShares[lane.ordinal()];
	}

	int index(EndpointId endpoint) {
		return this.endpoints.indexOf(endpoint);
	}

	private void partition(double[] speeds, LaneLoads loads) {
		int count = this.endpoints.size();
		double total = 0;
		for (int i = 0; i < count; i++) {
			total += speeds[i];
		}
		double spare = loads.spare();
		double shortLoad = loads.load(Lane.SHORT);
		double shortShare = Math.max(shortLoad + SPARE_SHARES[0] * spare, shortLoad / MAX_SHORT_LANE_LOAD);
		double mediumShare = loads.load(Lane.MEDIUM) + SPARE_SHARES[1] * spare;
		Arrays.fill(this.laneSizes, 0);
		Arrays.fill(this.capacityShares, 0);
		double before = 0;
		for (int i = 0; i < count; i++) {
			int next = this.order[i];
			// An endpoint belongs to the lane that contains the midpoint of its interval.
			double midpoint = (before + speeds[next] / 2) / total;
			before += speeds[next];
			Lane lane = (midpoint < shortShare) ? Lane.SHORT
					: (midpoint < shortShare + mediumShare) ? Lane.MEDIUM : Lane.LONG;
			assign(next, withFixedEnds(lane, i, count), speeds[next] / total);
		}
	}

	private static Lane withFixedEnds(Lane lane, int position, int count) {
		if (count > 1 && position == 0) {
			return Lane.SHORT;
		}
		return (position == count - 1) ? Lane.LONG : lane;
	}

	private void assign(int index, Lane lane, double capacityShare) {
		this.lanes[index] = lane;
		this.ranks[index] = this.laneSizes[lane.ordinal()]++;
		this.capacityShares[lane.ordinal()] += capacityShare;
	}

	private boolean trackCandidates(List<Candidate> candidates) {
		boolean unchanged = candidates.size() == this.endpoints.size();
		for (int i = 0; unchanged && i < candidates.size(); i++) {
			unchanged = candidates.get(i).endpoint().equals(this.endpoints.get(i));
		}
		if (unchanged) {
			return false;
		}
		int count = candidates.size();
		this.endpoints.clear();
		this.hashes = new long[count];
		this.speedClasses = new int[count];
		this.ranks = new int[count];
		this.lanes = new Lane[count];
		this.order = new Integer[count];
		for (int i = 0; i < count; i++) {
			EndpointId endpoint = candidates.get(i).endpoint();
			this.endpoints.add(endpoint);
			this.hashes[i] = LaneOrder.hash(endpoint);
			this.order[i] = i;
		}
		return true;
	}

	private boolean updateSpeedClasses(double[] speeds, double medianSpeed) {
		boolean changed = false;
		for (int i = 0; i < this.endpoints.size(); i++) {
			int speedClass = LaneOrder.speedClass(speeds[i], medianSpeed);
			changed |= speedClass != this.speedClasses[i];
			this.speedClasses[i] = speedClass;
		}
		return changed;
	}

	private int compare(Integer a, Integer b) {
		int bySpeed = Integer.compare(this.speedClasses[b], this.speedClasses[a]);
		return (bySpeed != 0) ? bySpeed : Long.compare(this.hashes[a], this.hashes[b]);
	}

}
