package org.bramleyscale.standins.platform;

import java.util.concurrent.TimeUnit;

import org.bramleyscale.internal.time.Clock;

/**
 * A rate limit that allows a burst of one second's worth.
 *
 * <p>
 * Confined to one thread.
 */
final class TokenBucket {

	private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

	private final Clock clock;

	private final double perSecond;

	private double tokens;

	private long filledAt;

	TokenBucket(Clock clock, int perSecond) {
		this.clock = clock;
		this.perSecond = perSecond;
		this.tokens = perSecond;
		this.filledAt = clock.nanos();
	}

	boolean take() {
		long now = this.clock.nanos();
		double filled = this.tokens + (now - this.filledAt) / NANOS_PER_SECOND * this.perSecond;
		this.tokens = Math.min(this.perSecond, filled);
		this.filledAt = now;
		if (this.tokens < 1) {
			return false;
		}
		this.tokens--;
		return true;
	}

}
