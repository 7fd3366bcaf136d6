package org.bramleyscale.internal.request.attempt;

import java.time.Duration;

import org.bramleyscale.internal.time.Clock;

/**
 * Limits retries to a fraction of first attempts plus a constant rate.
 *
 * <p>
 * When many endpoints fail at once, each failed attempt would otherwise cause several
 * retries and overload the remaining endpoints: attempts per second would rise while
 * completed requests fall. A token bucket refilled by first attempts and over time bounds
 * this. Deterministic given the clock; not safe for use by multiple threads.
 */
public final class RetryBudget {

	private final Clock clock;

	private final double ratio;

	private final double retriesPerSecond;

	private final double capacity;

	private double tokens;

	private long refilledAt;

	/**
	 * Creates a full budget.
	 * @param clock the clock
	 * @param ratio retries allowed per first attempt
	 * @param retriesPerSecond additional retries allowed per second
	 * @param capacity the maximum number of unused retries that accumulate
	 */
	public RetryBudget(Clock clock, double ratio, double retriesPerSecond, double capacity) {
		if (ratio < 0 || ratio > 1) {
			throw new IllegalArgumentException("retry share must be from 0 to 1, was " + ratio);
		}
		if (retriesPerSecond < 0 || capacity < 0) {
			throw new IllegalArgumentException(
					"retry rate and capacity must not be negative, were " + retriesPerSecond + " and " + capacity);
		}
		this.clock = clock;
		this.ratio = ratio;
		this.retriesPerSecond = retriesPerSecond;
		this.capacity = capacity;
		this.tokens = capacity;
		this.refilledAt = clock.nanos();
	}

	/** Records a first attempt, which adds to the budget. */
	public void firstAttempt() {
		add(this.ratio);
	}

	/**
	 * Consumes one retry from the budget.
	 * @return false if the budget is exhausted
	 */
	public boolean tryAcquire() {
		long now = this.clock.nanos();
		add(this.retriesPerSecond * (now - this.refilledAt) / Duration.ofSeconds(1).toNanos());
		this.refilledAt = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

	private void add(double amount) {
		this.tokens = Math.min(this.capacity, this.tokens + amount);
	}

}
