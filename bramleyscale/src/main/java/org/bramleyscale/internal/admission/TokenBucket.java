package org.bramleyscale.internal.admission;

import java.time.Duration;

/**
 * A token bucket whose level may become negative through one request.
 *
 * <p>
 * A request larger than the burst is allowed when the bucket is full, since it could
 * never be allowed otherwise. The negative level then delays later requests, so the
 * long-term rate is kept. Invariant: the level never exceeds the burst. Not safe for use
 * by multiple threads.
 */
public final class TokenBucket {

	private double rate;

	private double burst;

	private double level;

	private long updated;

	public TokenBucket(double rate, double burst, long now) {
		this.rate = rate;
		this.burst = burst;
		this.level = burst;
		this.updated = now;
	}

	/**
	 * Changes the limit; accumulated tokens are kept up to the new burst.
	 * @param newRate tokens per second
	 * @param newBurst the maximum number of accumulated tokens
	 * @param now the time
	 */
	public void setLimit(double newRate, double newBurst, long now) {
		if (newRate == this.rate && newBurst == this.burst) {
			return;
		}
		refill(now);
		this.rate = newRate;
		this.burst = newBurst;
		this.level = Math.min(this.level, newBurst);
	}

	double rate() {
		return this.rate;
	}

	double level(long now) {
		refill(now);
		return this.level;
	}

	public boolean canTake(double tokens, long now) {
		refill(now);
		return this.level >= needed(tokens);
	}

	public void take(double tokens) {
		this.level -= tokens;
	}

	void refund(double tokens) {
		this.level = Math.min(this.burst, this.level + tokens);
	}

	/**
	 * Returns the time until a request is allowed if no other is taken before it.
	 * @param tokens the request's tokens
	 * @param now the time
	 * @return the time to wait, rounded up to a millisecond
	 */
	Duration waitTime(double tokens, long now) {
		refill(now);
		double missing = needed(tokens) - this.level;
		if (missing <= 0) {
			return Duration.ZERO;
		}
		return Duration.ofMillis((long) Math.ceil(missing / this.rate * 1000));
	}

	private double needed(double tokens) {
		return Math.min(tokens, this.burst);
	}

	private void refill(long now) {
		double seconds = (now - this.updated) / 1e9;
		this.updated = now;
		this.level = Math.min(this.burst, this.level + seconds * this.rate);
	}

}
