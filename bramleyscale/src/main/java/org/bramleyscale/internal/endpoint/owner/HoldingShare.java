package org.bramleyscale.internal.endpoint.owner;

import org.bramleyscale.internal.endpoint.Amount;

/**
 * What reservations hold of one endpoint, and what the one that waits still collects.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class HoldingShare {

	/** Of slots and memory, this part stays with entries however much is held. */
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
	 * Sets what is held.
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
	 * The number of the collection under way.
	 * @return the number; 0 if nothing is collected
	 */
	int collection() {
		return collects() ? this.collections : 0;
	}

	/**
	 * The most that may ever be held, so that short work always has a part.
	 * @param capacity the endpoint's capacity
	 * @return the amount
	 */
	Amount holdable(Amount capacity) {
		int slots = capacity.slots() - Math.max(1, (int) (capacity.slots() * SHORT_WORK_SHARE));
		return new Amount(slots, (long) (capacity.kvTokens() * (1 - SHORT_WORK_SHARE))).max(Amount.NONE);
	}

	/**
	 * What may be divided among entries. While a reservation collects, that is only the
	 * part kept for short work; what was in flight when the collection began comes on
	 * top, and goes to the reservation as it ends.
	 * @param capacity the endpoint's capacity
	 * @param rest what isn't held
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
