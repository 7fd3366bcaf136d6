package org.bramleyscale.internal.gateway.retry;

/**
 * What a retry is worth to its caller.
 */
public enum RetryUrgency {

	/** The answer can still be in time, or the caller already has a part of it. */
	IN_TIME(1),

	/** The answer will be late. Part of the constant is left for others. */
	LATE(0.75);

	private final double usable;

	RetryUrgency(double usable) {
		this.usable = usable;
	}

	/**
	 * The part of a daemon's share that retries of this kind may use.
	 * @param share the daemon's share of the constant
	 * @return the retries, at least one of a share of one or more
	 */
	double usable(double share) {
		return (share < 1) ? share : Math.max(1, this.usable * share);
	}

}
