package org.bramleyscale.internal.endpoint.owner;

import org.bramleyscale.internal.endpoint.Amount;

/**
 * What reservations hold of one endpoint, and what the waiting reservation still
 * collects.
 *
 * <p>
 * While a reservation waits, the memory that ending requests free is collected for it;
 * each such collection has a number. Confined to the scheduler's thread.
 */
final class ReservedShare {

	/** Fraction of slots and memory that entries always keep, however much is held. */
	private static final double SHORT_WORK_SHARE = 0.15;

	private Amount held = Amount.NONE;

	private Amount collecting = Amount.NONE;

	private int collections;

	Amount held() {
		return this.held;
	}

	boolean collects() {
		return !this.collecting.equals(Amount.NONE);
	}

	/**
	 * Sets what is held and collected.
	 * @param amount memory and slots held
	 * @param needed what a waiting reservation still needs
	 */
	void set(Amount amount, Amount needed) {
		if (!needed.equals(Amount.NONE) && !needed.equals(this.collecting)) {
			this.collections++;
		}
		this.held = amount;
		this.collecting = needed;
	}

	/**
	 * Returns the number of the memory collection in progress.
	 * @return the number; 0 if nothing is collected
	 */
	int collection() {
		return collects() ? this.collections : 0;
	}

	/**
	 * Returns the most that may ever be held, so that short requests always keep a part.
	 * @param capacity the endpoint's capacity
	 * @return the amount
	 */
	Amount holdable(Amount capacity) {
		int slots = capacity.slots() - Math.max(1, (int) (capacity.slots() * SHORT_WORK_SHARE));
		return new Amount(slots, (long) (capacity.kvTokens() * (1 - SHORT_WORK_SHARE))).max(Amount.NONE);
	}

	/**
	 * Returns what may be divided among entries. While a reservation collects memory,
	 * this is only the part kept for short requests; the memory of requests that were in
	 * flight when the collection began is counted in addition and passes to the
	 * reservation as they end.
	 * @param capacity the endpoint's capacity
	 * @param rest the capacity that is not held
	 * @return the amount
	 */
	Amount divisible(Amount capacity, Amount rest) {
		if (!collects()) {
			return rest.max(Amount.NONE);
		}
		long keptKv = capacity.kvTokens() - holdable(capacity).kvTokens();
		int slots = rest.slots() - this.collecting.slots();
		return new Amount(slots, Math.min(keptKv, rest.kvTokens())).max(Amount.NONE);
	}

}
