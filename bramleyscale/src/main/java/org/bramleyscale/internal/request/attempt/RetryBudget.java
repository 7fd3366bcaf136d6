package org.bramleyscale.internal.request.attempt;

import java.time.Duration;

import org.bramleyscale.internal.time.Clock;

/**
 * Limits retries to a share of first attempts plus a constant rate.
 *
 * <p>
 * When many endpoints fail at once, each failed attempt would otherwise cause several
 * retries and overload the remaining endpoints: attempts per second would rise while
 * completed requests fall. A token bucket refilled by first attempts and over time bounds
 * this. Deterministic given the clock; not safe for use by multiple threads.
 */
public final class RetryBudget {

	private final Clock clock;

	private final double share;

	private final double retriesPerSecond;

	private final double capacity;

	private double tokens;

	private long refilledAt;

	/**
	 * Creates a full budget.
	 * @param clock the clock
	 * @param share retries allowed per first attempt
	 * @param retriesPerSecond additional retries allowed per second
	 * @param capacity the maximum number of unused retries that accumulate
	 */
	public RetryBudget(Clock clock, double share, double retriesPerSecond, double capacity) {
		if (share < 0 || share > 1) {
			throw new IllegalArgumentException("retry share must be from 0 to 1, was " + share);
		}
		if (retriesPerSecond < 0 || capacity < 0) {
			throw new IllegalArgumentException(
					"retry rate and capacity must not be negative, were " + retriesPerSecond + " and " + capacity);
		}
		this.clock = clock;
		this.share = share;
		this.retriesPerSecond = retriesPerSecond;
		this.capacity = capacity;
		this.tokens = capacity;
		this.refilledAt = clock.nanos();
	}

	/** Records a first attempt, which adds to the budget. */
	public void firstAttempt() {
		add(this.share);
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
