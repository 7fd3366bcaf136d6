package org.bramleyscale.internal.endpoint;

import java.time.Duration;

/**
 * What an entry may use of an endpoint whose owner it doesn't hear.
 *
 * <p>
 * The share halves at once when the grant expires and again after each further lifetime,
 * down to one slot. Once every other cut-off entry must have shrunk as far as an equal
 * split of the capacity, the entry may use its equal split, so that a long loss of
 * control doesn't leave the endpoints nearly idle. The owner reckons with the same
 * function for entries it doesn't hear. Stateless and safe for use by multiple threads.
 */
public final class OwnerlessShare {

	/** After so long without an owner the equal split may be used. */
	public static final Duration SETTLED = Duration.ofSeconds(10);

	private OwnerlessShare() {
	}

	/**
	 * The share.
	 * @param granted the last grant
	 * @param equal the equal split of the capacity; nothing if the capacity is unknown
	 * @param floor what may always be used
	 * @param sinceExpiry nanoseconds since the grant expired; not negative
	 * @param lifetime the grant's lifetime in nanoseconds
	 * @return what may be used, requests in flight included
	 */
	public static Amount of(Amount granted, Amount equal, Amount floor, long sinceExpiry, long lifetime) {
		if (sinceExpiry >= SETTLED.toNanos()) {
			return equal.max(floor);
		}
		return granted.halved(1 + sinceExpiry / Math.max(1, lifetime)).max(floor);
	}

	/**
	 * The equal split of a capacity.
	 * @param capacity the capacity
	 * @param entries how many entries may use it; at least 1
	 * @return the split, rounded down
	 */
	public static Amount equalSplit(Amount capacity, int entries) {
		int divisor = Math.max(1, entries);
		return new Amount(capacity.slots() / divisor, capacity.kvTokens() / divisor);
	}

}
