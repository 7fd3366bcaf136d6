package org.bramleyscale.internal.admission;

/**
 * The waiting requests of one length class and the recent rate at which they were
 * started.
 *
 * <p>
 * The rate covers only time in which requests were waiting; otherwise a queue would seem
 * slow after a time of low load. Not safe for use by multiple threads.
 */
final class Backlog {

	private static final double TIME_CONSTANT_SECONDS = 20;

	private long tokens;

	private int requests;

	private long updated;

	private double busySeconds;

	private double startedTokens;

	int requests() {
		return this.requests;
	}

	void add(long cost, long now) {
		advance(now);
		this.requests++;
		this.tokens += cost;
	}

	void start(long cost, long now) {
		remove(cost, now);
		this.startedTokens += cost;
	}

	void remove(long cost, long now) {
		advance(now);
		this.requests--;
		this.tokens -= cost;
	}

	/**
	 * Returns the estimated time until all requests that wait now have been started.
	 * @return seconds, 0 if no request waits or the rate is unknown
	 */
	double drainSeconds() {
		if (this.startedTokens <= 0 || this.requests == 0) {
			return 0;
		}
		return this.tokens * this.busySeconds / this.startedTokens;
	}

	private void advance(long now) {
		double seconds = (now - this.updated) / 1e9;
		this.updated = now;
		if (this.requests == 0 || seconds <= 0) {
			return;
		}
		double decay = Math.exp(-seconds / TIME_CONSTANT_SECONDS);
		this.busySeconds = this.busySeconds * decay + seconds;
		this.startedTokens *= decay;
	}

}
