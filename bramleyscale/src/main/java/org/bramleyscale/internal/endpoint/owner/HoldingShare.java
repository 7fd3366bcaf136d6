package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;

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

	/**
	 * So long after a reservation began to collect, entries have no more than is kept.
	 */
	private static final long COLLECTED_WITHIN = Duration.ofSeconds(10).toNanos();

	private Amount held = Amount.NONE;

	private Amount collecting = Amount.NONE;

	private Amount usedBefore = Amount.NONE;

	private long collectingSince;

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
	 * @param used what entries use
	 * @param now the time
	 */
	void set(Amount amount, Amount needed, Amount used, long now) {
		if (!collects() && !needed.equals(Amount.NONE)) {
			this.collectingSince = now;
			this.usedBefore = used;
		}
		this.held = amount;
		this.collecting = needed;
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
	 * What entries may have while a reservation collects: less and less, down to what it
	 * leaves or the part kept for short work. Were everything that is freed given to it
	 * at once, short work would stand still until the longest requests have ended.
	 * @param capacity the endpoint's capacity
	 * @param rest what isn't held
	 * @param now the time
	 * @return the amount
	 */
	Amount leftForEntries(Amount capacity, Amount rest, long now) {
		if (!collects()) {
			return rest.max(Amount.NONE);
		}
		Amount kept = capacity.minus(holdable(capacity)).min(rest);
		double passed = Math.min(1, (double) (now - this.collectingSince) / COLLECTED_WITHIN);
		Amount shrinking = this.usedBefore.times(1 - passed).min(rest);
		return rest.minus(this.collecting).max(kept).max(shrinking).max(Amount.NONE);
	}

}
