package org.bramleyscale.internal.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.bramleyscale.EndpointId;

/**
 * Divides a pool's endpoints into lanes for short, medium and long prompts.
 *
 * <p>
 * All daemons line the endpoints up in the same order and cut it by the same rule, so
 * they agree about the lanes as far as they agree about speeds and mix. Each lane gets
 * its load and a part of the spare capacity: the largest part goes to the short lane,
 * whose wait matters most. Invariant: every candidate is in exactly one lane. Confined to
 * the scheduler's thread.
 */
final class LanePlan {

	/** Parts of the spare capacity that the lanes get. */
	private static final double[] SPARE_PARTS = { 0.6, 0.1, 0.3 };

	/** Under overload the short lane still isn't loaded above this. */
	private static final double LARGEST_SHORT_LOAD = 0.6;

	private final List<EndpointId> endpoints = new ArrayList<>();

	private long[] hashes = {};

	private int[] speedClasses = {};

	private Integer[] order = {};

	private int[] ranks = {};

	private Lane[] lanes = {};

	private final int[] laneSizes = new int[Lane.values().length];

	private final double[] parts = new double[Lane.values().length];

	/**
	 * Decides anew.
	 * @param candidates the candidates
	 * @param speeds their speeds
	 * @param usualSpeed the speed in the middle
	 * @param loads the lanes' loads
	 */
	void update(List<Candidate> candidates, double[] speeds, double usualSpeed, LaneLoads loads) {
		boolean changed = track(candidates);
		if (classify(speeds, usualSpeed) || changed) {
			Arrays.sort(this.order, this::compare);
		}
		cut(speeds, loads);
	}

	Lane lane(int index) {
		return this.lanes[index];
	}

	/**
	 * The place of a candidate within its lane.
	 * @param index the candidate's index at the last update
	 * @return 0 for the first
	 */
	int rank(int index) {
		return this.ranks[index];
	}

	int size(Lane lane) {
		return this.laneSizes[lane.ordinal()];
	}

	/**
	 * The part of the pool's capacity that a lane has.
	 * @param lane the lane
	 * @return from 0 to 1
	 */
	double part(Lane lane) {
		return this.parts[lane.ordinal()];
	}

	int index(EndpointId endpoint) {
		return this.endpoints.indexOf(endpoint);
	}

	private void cut(double[] speeds, LaneLoads loads) {
		int count = this.endpoints.size();
		double total = 0;
		for (int i = 0; i < count; i++) {
			total += speeds[i];
		}
		double spare = loads.spare();
		double shortLoad = loads.load(Lane.SHORT);
		double shortPart = Math.max(shortLoad + SPARE_PARTS[0] * spare, shortLoad / LARGEST_SHORT_LOAD);
		double mediumPart = loads.load(Lane.MEDIUM) + SPARE_PARTS[1] * spare;
		Arrays.fill(this.laneSizes, 0);
		Arrays.fill(this.parts, 0);
		double before = 0;
		for (int i = 0; i < count; i++) {
			int next = this.order[i];
			// An endpoint belongs to the lane in which its middle lies.
			double middle = (before + speeds[next] / 2) / total;
			before += speeds[next];
			Lane lane = (middle < shortPart) ? Lane.SHORT : (middle < shortPart + mediumPart) ? Lane.MEDIUM : Lane.LONG;
			put(next, place(lane, i, count), speeds[next] / total);
		}
	}

	private static Lane place(Lane lane, int position, int count) {
		if (count > 1 && position == 0) {
			return Lane.SHORT;
		}
		return (position == count - 1) ? Lane.LONG : lane;
	}

	private void put(int index, Lane lane, double part) {
		this.lanes[index] = lane;
		this.ranks[index] = this.laneSizes[lane.ordinal()]++;
		this.parts[lane.ordinal()] += part;
	}

	private boolean track(List<Candidate> candidates) {
		boolean same = candidates.size() == this.endpoints.size();
		for (int i = 0; same && i < candidates.size(); i++) {
			same = candidates.get(i).endpoint().equals(this.endpoints.get(i));
		}
		if (same) {
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

	private boolean classify(double[] speeds, double usualSpeed) {
		boolean changed = false;
		for (int i = 0; i < this.endpoints.size(); i++) {
			int speedClass = LaneOrder.speedClass(speeds[i], usualSpeed);
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
