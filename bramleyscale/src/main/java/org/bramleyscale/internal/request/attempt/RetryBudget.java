package org.bramleyscale.internal.request.attempt;

import java.time.Duration;

import org.bramleyscale.internal.time.Clock;

/**
 * Limits retries to a share of first attempts plus a small rate.
 *
 * <p>
 * When many endpoints fail at once, each failed attempt would otherwise become several
 * attempts, and the endpoints that still work would drown in them: one would see attempts
 * a second rise while completed requests fall. A token bucket filled by first attempts
 * bounds this. Deterministic given the clock; not safe for use by multiple threads.
 */
public final class RetryBudget {

	private final Clock clock;

	private final double share;

	private final double perSecond;

	private final double capacity;

	private double tokens;

	private long filledAt;

	/**
	 * Creates a full budget.
	 * @param clock the clock
	 * @param share retries allowed for each first attempt
	 * @param perSecond retries a second allowed besides
	 * @param capacity how many unused retries may be saved up
	 */
	public RetryBudget(Clock clock, double share, double perSecond, double capacity) {
		if (share < 0 || share > 1) {
			throw new IllegalArgumentException("retry share must be from 0 to 1, was " + share);
		}
		if (perSecond < 0 || capacity < 0) {
			throw new IllegalArgumentException(
					"retry rate and capacity must not be negative, were " + perSecond + " and " + capacity);
		}
		this.clock = clock;
		this.share = share;
		this.perSecond = perSecond;
		this.capacity = capacity;
		this.tokens = capacity;
		this.filledAt = clock.nanos();
	}

	/** Tells of a first attempt. */
	public void firstAttempt() {
		add(this.share);
	}

	/**
	 * Takes the right to retry once.
	 * @return false if the budget is used up
	 */
	public boolean take() {
		long now = this.clock.nanos();
		add(this.perSecond * (now - this.filledAt) / Duration.ofSeconds(1).toNanos());
		this.filledAt = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens -= 1;
		return true;
	}

	private void add(double more) {
		this.tokens = Math.min(this.capacity, this.tokens + more);
	}

}
