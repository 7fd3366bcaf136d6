package org.bramleyscale.internal.steward;

import java.time.Duration;

/**
 * Durations and limits of the steward.
 *
 * @param reconcileInterval the delay between two comparisons of desired and observed
 * models
 * @param maxOrderDelay the maximum delay with which an order of an earlier holder may
 * arrive at an endpoint that doesn't check fencing numbers
 * @param repeatDelay how long an unload may take to show in the endpoint's report before
 * it is ordered again, and the delay before any failed order is repeated
 * @param loadTimeout how long a load may take before it is ordered again
 * @param maxConcurrentLoads the maximum number of concurrent loads; limited because the
 * weight store is rate limited
 */
public record StewardSettings(Duration reconcileInterval, Duration maxOrderDelay, Duration repeatDelay,
		Duration loadTimeout, int maxConcurrentLoads) {

	/** The default settings. */
	public static final StewardSettings DEFAULT = new StewardSettings(Duration.ofSeconds(1), Duration.ofSeconds(15),
			Duration.ofSeconds(5), Duration.ofMinutes(2), 2);

	public StewardSettings {
		requirePositive("reconcile interval", reconcileInterval);
		requirePositive("maximum order delay", maxOrderDelay);
		requirePositive("repeat delay", repeatDelay);
		requirePositive("load timeout", loadTimeout);
		if (maxConcurrentLoads <= 0) {
			throw new IllegalArgumentException(
					"maximum number of concurrent loads must be positive, was " + maxConcurrentLoads);
		}
	}

	private static void requirePositive(String name, Duration value) {
		if (value.isNegative() || value.isZero()) {
			throw new IllegalArgumentException(name + " must be positive, was " + value);
		}
	}

}
