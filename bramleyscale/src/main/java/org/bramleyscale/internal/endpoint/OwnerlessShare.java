package org.bramleyscale.internal.endpoint;

import java.time.Duration;

/**
 * The share of an endpoint that an entry may use while the owner is unreachable.
 *
 * <p>
 * The share halves at once when the grant expires and again after each further lifetime,
 * down to one slot. Once every other partitioned entry must have shrunk to an equal split
 * of the capacity, the entry may use its equal split, so that a long loss of contact
 * doesn't leave the endpoints nearly idle. The owner applies the same function to entries
 * that it can't reach. Stateless and safe for use by multiple threads.
 */
public final class OwnerlessShare {

	/** The time without an owner after which an entry may use the equal split. */
	public static final Duration EQUAL_SPLIT_DELAY = Duration.ofSeconds(10);

	private OwnerlessShare() {
	}

	/**
	 * Returns the share.
	 * @param granted the last grant
	 * @param equal the equal split of the capacity; {@link Amount#NONE} if the capacity
	 * is unknown
	 * @param floor the amount that may always be used
	 * @param sinceExpiry nanoseconds since the grant expired; not negative
	 * @param lifetime the grant's lifetime in nanoseconds
	 * @return the amount that may be used, including requests in flight
	 */
	public static Amount of(Amount granted, Amount equal, Amount floor, long sinceExpiry, long lifetime) {
		if (sinceExpiry >= EQUAL_SPLIT_DELAY.toNanos()) {
			return equal.max(floor);
		}
		return granted.halved(1 + sinceExpiry / Math.max(1, lifetime)).max(floor);
	}

	/**
	 * Splits a capacity equally.
	 * @param capacity the capacity
	 * @param entries the number of entries that may use it, at least 1
	 * @return the amount for each entry, rounded down
	 */
	public static Amount equalSplit(Amount capacity, int entries) {
		int divisor = Math.max(1, entries);
		return new Amount(capacity.slots() / divisor, capacity.kvTokens() / divisor);
	}

}
