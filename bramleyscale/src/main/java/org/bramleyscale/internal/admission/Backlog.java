package org.bramleyscale.internal.admission;

/**
 * The waiting requests of one length class and the recent rate at which they were
 * started.
 *
 * <p>
 * The rate covers only time in which requests were waiting; otherwise a queue would seem
 * slow after a time of low load. Not safe for use by multiple threads.
 */
public final class Backlog {

	private static final double TIME_CONSTANT_SECONDS = 20;

	private final double timeConstantSeconds;

	private long tokens;

	private int requests;

	private long updated;

	private double busySeconds;

	private double startedTokens;

	Backlog() {
		this(TIME_CONSTANT_SECONDS);
	}

	/**
	 * Creates an empty backlog.
	 * @param timeConstantSeconds the time in which an observed start loses two thirds of
	 * its weight in the rate
	 */
	public Backlog(double timeConstantSeconds) {
		this.timeConstantSeconds = timeConstantSeconds;
	}

	public int requests() {
		return this.requests;
	}

	public void add(long cost, long now) {
		advance(now);
		this.requests++;
		this.tokens += cost;
	}

	public void start(long cost, long now) {
		remove(cost, now);
		this.startedTokens += cost;
	}

	public void remove(long cost, long now) {
		advance(now);
		this.requests--;
		this.tokens -= cost;
	}

	/**
	 * Returns the estimated time until all requests that wait now have been started.
	 * @return seconds, 0 if no request waits or the rate is unknown
	 */
	double drainSeconds() {
		return (this.requests > 0) ? secondsFor(this.tokens) : 0;
	}

	/**
	 * Returns the estimated time until work of a given cost has been started.
	 * @param cost the cost, in the unit of the requests' costs
	 * @return seconds, 0 if the rate is unknown
	 */
	public double secondsFor(double cost) {
		return (this.startedTokens > 0) ? cost * this.busySeconds / this.startedTokens : 0;
	}

	/**
	 * Returns for how long the rate has been observed, without time of low load.
	 * @return seconds, at most the time constant
	 */
	public double observedSeconds() {
		return this.busySeconds;
	}

	private void advance(long now) {
		double seconds = (now - this.updated) / 1e9;
		this.updated = now;
		if (this.requests == 0 || seconds <= 0) {
			return;
		}
		double decay = Math.exp(-seconds / this.timeConstantSeconds);
		this.busySeconds = this.busySeconds * decay + seconds;
		this.startedTokens *= decay;
	}

}
