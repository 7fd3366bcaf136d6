package org.bramleyscale.standins.platform;

import java.util.concurrent.TimeUnit;

import org.bramleyscale.internal.time.Clock;

/**
 * A token bucket rate limiter whose burst is one second's worth of calls.
 *
 * <p>
 * Confined to one thread.
 */
final class TokenBucket {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final Clock clock;

	private final double perSecond;

	private double tokens;

	private long refilledAt;

	TokenBucket(Clock clock, int perSecond) {
		this.clock = clock;
		this.perSecond = perSecond;
		this.tokens = perSecond;
		this.refilledAt = clock.nanos();
	}

	boolean tryTake() {
		long now = this.clock.nanos();
		double refilled = this.tokens + (now - this.refilledAt) / NANOS_PER_SECOND * this.perSecond;
		this.tokens = Math.min(this.perSecond, refilled);
		this.refilledAt = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
