package org.bramleyscale.internal.lease;

import java.time.Duration;

/**
 * The times by which leases run.
 *
 * <p>
 * A holder acts until {@code duration - margin} after it sent its last confirmed renewal;
 * a claimant waits {@code duration + margin}. The margins take up different rates of the
 * two clocks and the time between a check and the act that follows it.
 *
 * @param duration how long a lease lasts after a renewal
 * @param margin what the holder gives up and the claimant waits in addition
 * @param renewEvery the time between renewals, also between a claimant's reads
 * @param retryEvery the pause after a call that failed
 */
public record LeaseSettings(Duration duration, Duration margin, Duration renewEvery, Duration retryEvery) {

	/** Ten seconds, renewed three times. */
	public static final LeaseSettings DEFAULT = of(Duration.ofSeconds(10));

	private static final int MARGINS_PER_DURATION = 10;

	private static final int RENEWALS_PER_DURATION = 3;

	private static final int RETRIES_PER_DURATION = 20;

	public LeaseSettings {
		requirePositive("lease duration", duration);
		requirePositive("lease margin", margin);
		requirePositive("lease renewal interval", renewEvery);
		requirePositive("lease retry interval", retryEvery);
		if (renewEvery.compareTo(duration.minus(margin)) >= 0) {
			throw new IllegalArgumentException("lease renewal interval " + renewEvery + " must be below duration "
					+ duration + " less margin " + margin);
		}
	}

	/**
	 * The usual proportions: a margin of a tenth, a renewal each third.
	 * @param duration how long a lease lasts after a renewal
	 * @return the settings
	 */
	public static LeaseSettings of(Duration duration) {
		return new LeaseSettings(duration, duration.dividedBy(MARGINS_PER_DURATION),
				duration.dividedBy(RENEWALS_PER_DURATION), duration.dividedBy(RETRIES_PER_DURATION));
	}

	/**
	 * How long a holder may act after it sent a renewal.
	 * @return the duration less the margin
	 */
	Duration validity() {
		return this.duration.minus(this.margin);
	}

	private static void requirePositive(String what, Duration value) {
		if (value.isNegative() || value.isZero()) {
			throw new IllegalArgumentException(what + " must be positive, was " + value);
		}
	}

}
