package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;

import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.GrantItem;
import org.bramleyscale.internal.endpoint.OwnerlessShare;

/**
 * The part of one endpoint that this entry may use, with or without a live grant.
 *
 * <p>
 * Invariants: the epoch never decreases within a shard, nor the number of the grants
 * within an epoch. Confined to the scheduler's thread.
 */
final class HeldShare {

	/** How long the first request of an entry waits for the owner's answer. */
	static final Duration FIRST_ANSWER = Duration.ofMillis(50);

	/** What was heard from the owner so lately still tells that work may begin here. */
	private static final long HEARD_LATELY = Duration.ofSeconds(3).toNanos();

	/** After so long without a demand, a former silence of the owner means nothing. */
	private static final long FORGOTTEN = Duration.ofSeconds(5).toNanos();

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Amount floor;

	private HeldGrant grant;

	private long epoch;

	private long number;

	private long demandedAt = NEVER;

	private long unansweredSince = NEVER;

	private long heardAt = NEVER;

	HeldShare(Amount floor) {
		this.floor = floor;
	}

	long epoch() {
		return this.epoch;
	}

	/**
	 * The number of the last grant applied.
	 * @return the number; 0 if none of this epoch
	 */
	long number() {
		return this.number;
	}

	long demandedAt() {
		return this.demandedAt;
	}

	boolean granted() {
		return this.grant != null;
	}

	/**
	 * What the last grant still gives.
	 * @param now the time
	 * @return the amount; nothing once it expired
	 */
	Amount live(long now) {
		return (this.grant != null && this.grant.live(now)) ? this.grant.amount() : Amount.NONE;
	}

	/**
	 * What may be in flight in all.
	 * @param now the time
	 * @param equal the equal split of the capacity; nothing if that is unknown
	 * @return the share in force
	 */
	Amount amount(long now, Amount equal) {
		if (this.grant != null && this.grant.live(now)) {
			return this.grant.amount();
		}
		if (this.grant != null) {
			long since = now - this.grant.expiresAt();
			return OwnerlessShare.of(this.grant.amount(), equal, this.floor, since, this.grant.lifetime());
		}
		long unanswered = unanswered(now);
		if (unanswered >= OwnerlessShare.SETTLED.toNanos()) {
			return equal.max(this.floor);
		}
		// An entry that has long been idle may have missed that the endpoint is leaving,
		// so it asks first; if the owner is silent, work begins all the same.
		boolean informed = now - this.heardAt < HEARD_LATELY;
		return (informed || unanswered >= FIRST_ANSWER.toNanos()) ? this.floor : Amount.NONE;
	}

	/**
	 * Applies a grant unless a newer one was applied before.
	 * @param item the grant
	 * @param expiresAt when it expires
	 * @param lifetime its lifetime in nanoseconds
	 * @param now the time
	 * @return whether it was applied
	 */
	boolean apply(GrantItem item, long expiresAt, long lifetime, long now) {
		boolean reportOnly = item.number() == GrantItem.REPORT_ONLY;
		boolean sameEpoch = item.epoch() == this.epoch;
		if (item.epoch() < this.epoch || (sameEpoch && !reportOnly && item.number() <= this.number)) {
			return false;
		}
		if (!reportOnly) {
			this.number = item.number();
			Amount amount = new Amount(item.slots(), item.kvTokens());
			this.grant = new HeldGrant(item.epoch(), item.number(), amount, expiresAt, lifetime);
		}
		else if (!sameEpoch) {
			this.number = 0;
		}
		this.epoch = item.epoch();
		this.unansweredSince = NEVER;
		this.heardAt = now;
		return true;
	}

	void demanded(long now) {
		if (this.unansweredSince == NEVER || now - this.demandedAt > FORGOTTEN) {
			this.unansweredSince = now;
		}
		this.demandedAt = now;
	}

	/**
	 * Gives the grant back, because nothing has used it for a while.
	 */
	void resign() {
		this.grant = null;
		this.unansweredSince = NEVER;
	}

	/**
	 * The endpoint moved to another shard. Epochs of different shards can't be compared:
	 * with the former shard's epoch kept, the new owner's grants might be ignored until
	 * its lease's number passes the former one, and the entry would live on its ownerless
	 * share.
	 */
	void moved() {
		this.epoch = 0;
		this.number = 0;
	}

	private long unanswered(long now) {
		boolean asking = this.unansweredSince != NEVER && now - this.demandedAt <= FORGOTTEN;
		return asking ? now - this.unansweredSince : 0;
	}

}
