package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;

import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.GrantItem;
import org.bramleyscale.internal.endpoint.OwnerlessShare;

/**
 * The part of one endpoint's capacity that this entry may use, with or without an
 * unexpired grant.
 *
 * <p>
 * Invariants: the epoch never decreases within a shard, and the grant number never
 * decreases within an epoch. Confined to the scheduler's thread.
 */
final class HeldShare {

	/** How long an entry's first request for an endpoint waits for the owner's answer. */
	static final Duration FIRST_ANSWER_TIMEOUT = Duration.ofMillis(50);

	/**
	 * Within this time of the owner's last message, requests may start without waiting
	 * for a new answer.
	 */
	private static final long RECENT_CONTACT = Duration.ofSeconds(3).toNanos();

	/** After this time without a demand, earlier unanswered demands no longer count. */
	private static final long MAX_DEMAND_GAP = Duration.ofSeconds(5).toNanos();

	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Amount floor;

	private HeldGrant grant;

	private long epoch;

	private long number;

	private long demandedAt = NEVER;

	private long unansweredSince = NEVER;

	private long lastContactAt = NEVER;

	HeldShare(Amount floor) {
		this.floor = floor;
	}

	long epoch() {
		return this.epoch;
	}

	/**
	 * Returns the number of the last grant applied.
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
	 * Returns what the last grant still allows.
	 * @param now the time
	 * @return the amount; nothing once the grant has expired
	 */
	Amount live(long now) {
		return (this.grant != null && this.grant.live(now)) ? this.grant.amount() : Amount.NONE;
	}

	/**
	 * Returns the most that may be in flight.
	 * @param now the time
	 * @param equal the equal split of the capacity; nothing if the capacity is unknown
	 * @return the current share
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
		if (unanswered >= OwnerlessShare.EQUAL_SPLIT_DELAY.toNanos()) {
			return equal.max(this.floor);
		}
		// An entry that was idle for long may have missed that the endpoint is leaving,
		// so it asks the owner first; if the owner does not respond, requests start
		// nevertheless.
		boolean recentContact = now - this.lastContactAt < RECENT_CONTACT;
		return (recentContact || unanswered >= FIRST_ANSWER_TIMEOUT.toNanos()) ? this.floor : Amount.NONE;
	}

	/**
	 * Applies a grant unless a newer one was already applied.
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
		this.lastContactAt = now;
		return true;
	}

	void demandSent(long now) {
		if (this.unansweredSince == NEVER || now - this.demandedAt > MAX_DEMAND_GAP) {
			this.unansweredSince = now;
		}
		this.demandedAt = now;
	}

	/**
	 * Discards the grant, because nothing has used it for a while. The next demand
	 * informs the owner.
	 */
	void returnGrant() {
		this.grant = null;
		this.unansweredSince = NEVER;
	}

	/**
	 * Resets epoch and grant number because the endpoint moved to another shard. Epochs
	 * of different shards are not comparable: if the former shard's epoch were kept, the
	 * new owner's grants might be ignored until its lease's number exceeds the former
	 * one, and the entry would be limited to its ownerless share.
	 */
	void resetEpoch() {
		this.epoch = 0;
		this.number = 0;
	}

	private long unanswered(long now) {
		boolean asking = this.unansweredSince != NEVER && now - this.demandedAt <= MAX_DEMAND_GAP;
		return asking ? now - this.unansweredSince : 0;
	}

}
