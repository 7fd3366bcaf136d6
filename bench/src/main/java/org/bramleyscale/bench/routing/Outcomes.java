package org.bramleyscale.bench.routing;

import java.util.Arrays;
import java.util.List;

/**
 * What became of each arrival.
 */
final class Outcomes {

	private final List<Arrival> arrivals;

	private final double[] firstTokenSeconds;

	private final double[] finishSeconds;

	private final State[] states;

	private final int[] engines;

	Outcomes(List<Arrival> arrivals) {
		this.arrivals = arrivals;
		this.firstTokenSeconds = new double[arrivals.size()];
		this.finishSeconds = new double[arrivals.size()];
		this.states = new State[arrivals.size()];
		this.engines = new int[arrivals.size()];
		Arrays.fill(this.states, State.OPEN);
		Arrays.fill(this.engines, -1);
	}

	List<Arrival> arrivals() {
		return this.arrivals;
	}

	State state(Arrival arrival) {
		return this.states[arrival.number()];
	}

	double firstTokenSeconds(Arrival arrival) {
		return this.firstTokenSeconds[arrival.number()];
	}

	double finishSeconds(Arrival arrival) {
		return this.finishSeconds[arrival.number()];
	}

	int engine(Arrival arrival) {
		return this.engines[arrival.number()];
	}

	void routed(Arrival arrival, int engine) {
		this.engines[arrival.number()] = engine;
	}

	void refused(Arrival arrival) {
		this.states[arrival.number()] = State.REFUSED;
	}

	void firstToken(Arrival arrival, long now) {
		this.firstTokenSeconds[arrival.number()] = (now - arrival.atNanos()) / 1e9;
	}

	void completed(Arrival arrival, long now) {
		this.states[arrival.number()] = State.COMPLETED;
		this.finishSeconds[arrival.number()] = (now - arrival.atNanos()) / 1e9;
	}

	void failed(Arrival arrival) {
		this.states[arrival.number()] = State.FAILED;
	}

	/**
	 * How an arrival ended.
	 */
	enum State {

		/** It hasn't ended. */
		OPEN,

		/** It was refused at once. */
		REFUSED,

		/** It completed within its time. */
		COMPLETED,

		/** Its time ran out after it was admitted. */
		FAILED

	}

}
