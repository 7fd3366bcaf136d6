package org.bramleyscale.internal.lease;

import java.time.Duration;

/**
 * Durations and intervals of leases.
 *
 * <p>
 * A holder may act until {@code duration - margin} after it sent its last confirmed
 * renewal; a daemon that takes the lease over waits {@code duration + margin}. The
 * margins cover the drift between the two clocks and the time between a check of the
 * lease and the action that follows it.
 *
 * @param duration the duration of a lease after a renewal
 * @param margin the safety margin, subtracted from the duration by the holder and added
 * to it by a daemon that takes the lease over
 * @param renewInterval the interval between renewals, and the mean interval between reads
 * of a lease that another daemon holds
 * @param retryInterval the delay after a failed call
 */
public record LeaseSettings(Duration duration, Duration margin, Duration renewInterval, Duration retryInterval) {

	/** A duration of 10 seconds, with three renewal intervals per duration. */
	public static final LeaseSettings DEFAULT = of(Duration.ofSeconds(10));

	private static final int MARGINS_PER_DURATION = 10;

	private static final int RENEWALS_PER_DURATION = 3;

	private static final int RETRIES_PER_DURATION = 20;

	public LeaseSettings {
		requirePositive("lease duration", duration);
		requirePositive("lease margin", margin);
		requirePositive("lease renewal interval", renewInterval);
		requirePositive("lease retry interval", retryInterval);
		if (renewInterval.compareTo(duration.minus(margin)) >= 0) {
			throw new IllegalArgumentException("lease renewal interval " + renewInterval + " must be below duration "
					+ duration + " less margin " + margin);
		}
	}

	/**
	 * Derives the margin, a tenth of the duration, the renewal interval, a third, and the
	 * retry interval, a twentieth.
	 * @param duration the duration of a lease after a renewal
	 * @return the settings
	 */
	public static LeaseSettings of(Duration duration) {
		return new LeaseSettings(duration, duration.dividedBy(MARGINS_PER_DURATION),
				duration.dividedBy(RENEWALS_PER_DURATION), duration.dividedBy(RETRIES_PER_DURATION));
	}

	/**
	 * The time for which a holder may act after it sent a renewal.
	 * @return the duration less the margin
	 */
	Duration validity() {
		return this.duration.minus(this.margin);
	}

	private static void requirePositive(String name, Duration value) {
		if (value.isNegative() || value.isZero()) {
			throw new IllegalArgumentException(name + " must be positive, was " + value);
		}
	}

}
