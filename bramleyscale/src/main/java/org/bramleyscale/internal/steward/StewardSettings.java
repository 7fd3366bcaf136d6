package org.bramleyscale.internal.steward;

import java.time.Duration;

/**
 * The times and limits of the steward.
 *
 * @param compareEvery the pause between two comparisons of desired and observed models
 * @param longestLateOrder how late an order of an earlier holder may still arrive at an
 * endpoint that doesn't check fencing numbers
 * @param repeatAfter how long an order is given to show in the endpoint's report before
 * it is repeated, and the pause after one that failed
 * @param loadTimeout how long a load may take before it is ordered again
 * @param mostLoads how many loads run at once; the weight store is rate limited
 */
public record StewardSettings(Duration compareEvery, Duration longestLateOrder, Duration repeatAfter,
		Duration loadTimeout, int mostLoads) {

	/** The values used unless the daemon's settings say otherwise. */
	public static final StewardSettings DEFAULT = new StewardSettings(Duration.ofSeconds(1), Duration.ofSeconds(15),
			Duration.ofSeconds(5), Duration.ofMinutes(2), 2);

	public StewardSettings {
		requirePositive("comparison interval", compareEvery);
		requirePositive("longest late order", longestLateOrder);
		requirePositive("repeat interval", repeatAfter);
		requirePositive("load timeout", loadTimeout);
		if (mostLoads <= 0) {
			throw new IllegalArgumentException("number of loads at once must be positive, was " + mostLoads);
		}
	}

	private static void requirePositive(String what, Duration value) {
		if (value.isNegative() || value.isZero()) {
			throw new IllegalArgumentException(what + " must be positive, was " + value);
		}
	}

}
