package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayDeque;
import java.util.Deque;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.DemandItem;
import org.bramleyscale.internal.endpoint.OwnerlessShare;
import org.bramleyscale.internal.endpoint.SendBackoff;

/**
 * Tracks what the owner must assume that one entry holds and uses of one endpoint.
 *
 * <p>
 * Invariant: {@link #bound} is at least what the entry may have in flight at any moment
 * until it next sends a demand. A grant counts until a later one is acknowledged or it
 * has expired by the owner's clock, which happens after it expired at the entry. Confined
 * to the scheduler's thread.
 */
final class EntryAccount {

	/** The grant number used for what an entry holds from a former owner. */
	private static final long FORMER_OWNER_GRANT = 0;

	private static final long NOT_WAITING = Long.MAX_VALUE;

	private final Incarnation entry;

	private final Deque<Outstanding> outstanding = new ArrayDeque<>();

	private final SendBackoff pushes = new SendBackoff();

	private DemandItem demand;

	private long demandSentMillis;

	private int lifetimeMillis;

	private long lastContactAt;

	private long waitingSince = NOT_WAITING;

	private boolean leavingSent;

	private Amount declaredPeak = Amount.NONE;

	private Amount takenOver = Amount.NONE;

	EntryAccount(Incarnation entry) {
		this.entry = entry;
	}

	Incarnation entry() {
		return this.entry;
	}

	DemandItem demand() {
		return this.demand;
	}

	long demandSentMillis() {
		return this.demandSentMillis;
	}

	int lifetimeMillis() {
		return this.lifetimeMillis;
	}

	long lastContactAt() {
		return this.lastContactAt;
	}

	/**
	 * Returns the back-off of grants that are pushed without a demand.
	 * @return the back-off
	 */
	SendBackoff pushes() {
		return this.pushes;
	}

	long waitingSince() {
		return this.waitingSince;
	}

	/**
	 * Returns whether the last message to the entry marked the endpoint as leaving.
	 * @return true if the entry need not be notified again
	 */
	boolean leavingSent() {
		return this.leavingSent;
	}

	void leavingSent(boolean value) {
		this.leavingSent = value;
	}

	/**
	 * Returns what the entry held from a former owner or already used at its first
	 * demand.
	 * @return the amount
	 */
	Amount takenOver() {
		return this.takenOver;
	}

	Amount inUse() {
		return new Amount(this.demand.inFlight(), this.demand.kvInUse());
	}

	/**
	 * Returns the highest use that the entry declared since the endpoint's last report,
	 * including its last declaration before that report.
	 * @return the amount
	 */
	Amount declaredPeak() {
		return this.declaredPeak;
	}

	void endpointReportReceived() {
		this.declaredPeak = inUse();
	}

	/**
	 * Returns the KV tokens of requests begun before a memory collection.
	 * @param collection the collection; 0 if there is none
	 * @return the tokens; all that are in use if the entry does not know the collection
	 * yet
	 */
	long kvBeforeCollection(int collection) {
		if (collection == 0) {
			return 0;
		}
		return (this.demand.collection() == collection) ? this.demand.kvBeforeCollection() : this.demand.kvInUse();
	}

	Amount wanted() {
		return new Amount(this.demand.slotsWanted(), this.demand.kvWanted());
	}

	/**
	 * Processes a demand.
	 * @param item the demand
	 * @param sentMillis when the entry sent it, by its clock
	 * @param lifetime the lifetime of grants to the entry, in milliseconds
	 * @param epoch the owner's epoch
	 * @param now the time
	 * @return false if it is older than one already processed
	 */
	boolean demandReceived(DemandItem item, long sentMillis, int lifetime, long epoch, long now) {
		if (this.demand != null && sentMillis < this.demandSentMillis) {
			return false;
		}
		boolean first = this.demand == null;
		if (first || turnEnded(item)) {
			this.waitingSince = NOT_WAITING;
		}
		this.demand = item;
		this.declaredPeak = this.declaredPeak.max(inUse());
		this.demandSentMillis = sentMillis;
		this.lifetimeMillis = lifetime;
		this.lastContactAt = now;
		if (item.epoch() == epoch) {
			acknowledge(item);
		}
		else {
			takeOver(item, lifetime, now);
		}
		if (first) {
			this.takenOver = new Amount(item.heldSlots(), item.heldKv()).max(inUse());
		}
		return true;
	}

	/**
	 * Records a grant that is being sent.
	 * @param number its number
	 * @param amount what was granted
	 * @param now the time
	 */
	void grantSent(long number, Amount amount, long now) {
		this.outstanding.addLast(new Outstanding(number, amount, now + nanos(this.lifetimeMillis)));
		if (this.waitingSince == NOT_WAITING && starved(amount)) {
			this.waitingSince = now;
		}
	}

	/**
	 * Returns the last grant, whether or not it has expired.
	 * @return the amount; nothing before the first grant
	 */
	Amount lastGrant() {
		Outstanding last = this.outstanding.peekLast();
		return (last != null && last.number != FORMER_OWNER_GRANT) ? last.amount : Amount.NONE;
	}

	/**
	 * Returns the most that the entry may have in flight.
	 * @param now the time
	 * @param equal the equal split of the capacity
	 * @param floor what a partitioned entry may always use
	 * @return the amount
	 */
	Amount bound(long now, Amount equal, Amount floor) {
		Amount bound = inUse();
		for (Outstanding grant : this.outstanding) {
			bound = bound.max(grant.usable(now, equal, floor, nanos(this.lifetimeMillis)));
		}
		return bound;
	}

	/**
	 * Returns the largest grant that has not expired, per dimension.
	 * @param now the time
	 * @return the amount; nothing if all grants have expired
	 */
	Amount live(long now) {
		Amount live = Amount.NONE;
		for (Outstanding grant : this.outstanding) {
			if (now <= grant.expiresAt) {
				live = live.max(grant.amount);
			}
		}
		return live;
	}

	/**
	 * Returns whether the entry has returned all grants and wants nothing.
	 * @return true if its account can be removed
	 */
	boolean removable() {
		return idle() && this.outstanding.isEmpty();
	}

	boolean idle() {
		return this.demand.slotsWanted() == 0 && this.demand.inFlight() == 0 && this.demand.heldSlots() == 0;
	}

	/**
	 * Returns whether a grant is too small for the entry to start its next request.
	 * @param grant the grant
	 * @return true if requests wait for capacity there
	 */
	boolean starved(Amount grant) {
		boolean slots = this.demand.slotsWanted() > this.demand.inFlight() && grant.slots() <= this.demand.inFlight();
		boolean memory = this.demand.kvLargest() > 0
				&& grant.kvTokens() < this.demand.kvInUse() + this.demand.kvLargest();
		return slots || memory;
	}

	// An entry's turn ends when it has started a request, not when it was granted enough
	// for one: otherwise the next entry would be granted the memory before the first
	// could use it.
	private boolean turnEnded(DemandItem item) {
		boolean started = item.inFlight() > this.demand.inFlight() || item.kvInUse() > this.demand.kvInUse();
		boolean nothingWaiting = item.kvLargest() == 0 && item.slotsWanted() <= item.inFlight();
		return started || nothingWaiting;
	}

	private void acknowledge(DemandItem item) {
		long needed = idle() ? item.grant() + 1 : item.grant();
		this.outstanding.removeIf((grant) -> grant.number < needed);
	}

	private void takeOver(DemandItem item, int lifetime, long now) {
		this.outstanding.removeIf((grant) -> grant.number == FORMER_OWNER_GRANT);
		if (item.heldSlots() > 0 || item.heldKv() > 0) {
			Amount held = new Amount(item.heldSlots(), item.heldKv());
			this.outstanding.addFirst(new Outstanding(FORMER_OWNER_GRANT, held, now + nanos(lifetime)));
		}
	}

	private static long nanos(int millis) {
		return millis * 1_000_000L;
	}

	private record Outstanding(long number, Amount amount, long expiresAt) {

		private Amount usable(long now, Amount equal, Amount floor, long lifetime) {
			if (now <= this.expiresAt) {
				return this.amount;
			}
			// Requests started under the grant may still run, so the whole grant counts
			// until the entry sends another demand. If only its shrinking share counted,
			// a late demand would let other entries use capacity that its requests still
			// occupy.
			Amount share = OwnerlessShare.of(this.amount, equal, floor, now - this.expiresAt, lifetime);
			return share.max(this.amount);
		}

	}

}
