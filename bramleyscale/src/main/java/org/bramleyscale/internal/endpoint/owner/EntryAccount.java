package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayDeque;
import java.util.Deque;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.DemandItem;
import org.bramleyscale.internal.endpoint.OwnerlessShare;
import org.bramleyscale.internal.endpoint.Pacing;

/**
 * What one entry holds and uses of one endpoint, as its owner must assume.
 *
 * <p>
 * Invariant: {@link #bound} is at least what the entry may have in flight at any moment
 * until it is heard again. A grant counts until a later one is acknowledged or it has
 * expired by the owner's clock, which happens after it expired at the entry. Confined to
 * the scheduler's thread.
 */
final class EntryAccount {

	/** The number of what an entry holds from a former owner. */
	private static final long FORMER_OWNER = 0;

	private static final long NOT_WAITING = Long.MAX_VALUE;

	private final Incarnation entry;

	private final Deque<Outstanding> outstanding = new ArrayDeque<>();

	private final Pacing pushes = new Pacing();

	private DemandItem demand;

	private long demandSentMillis;

	private int lifetimeMillis;

	private long heardAt;

	private long waitingSince = NOT_WAITING;

	private boolean toldLeaving;

	private Amount toldPeak = Amount.NONE;

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

	long heardAt() {
		return this.heardAt;
	}

	/**
	 * How grants that weren't asked for are spaced out.
	 * @return the pacing
	 */
	Pacing pushes() {
		return this.pushes;
	}

	long waitingSince() {
		return this.waitingSince;
	}

	/**
	 * Whether the last message to the entry said that the endpoint is leaving.
	 * @return true if it need not be told again
	 */
	boolean toldLeaving() {
		return this.toldLeaving;
	}

	void toldLeaving(boolean value) {
		this.toldLeaving = value;
	}

	/**
	 * What the entry held from a former owner, or already used, when first heard.
	 * @return the amount
	 */
	Amount takenOver() {
		return this.takenOver;
	}

	Amount inUse() {
		return new Amount(this.demand.inFlight(), this.demand.kvInUse());
	}

	/**
	 * The most the entry said it uses since the last report of the endpoint, including
	 * what it had said last by then.
	 * @return the amount
	 */
	Amount toldPeak() {
		return this.toldPeak;
	}

	void endpointReported() {
		this.toldPeak = inUse();
	}

	/**
	 * The KV tokens of requests begun before a collection of memory.
	 * @param collection the collection; 0 if there is none
	 * @return the tokens; all in use if the entry hasn't heard of the collection yet
	 */
	long olderKv(int collection) {
		if (collection == 0) {
			return 0;
		}
		return (this.demand.collection() == collection) ? this.demand.olderKv() : this.demand.kvInUse();
	}

	Amount wanted() {
		return new Amount(this.demand.slotsWanted(), this.demand.kvWanted());
	}

	/**
	 * Takes in a demand.
	 * @param item the demand
	 * @param sentMillis when the entry sent it, by its clock
	 * @param lifetime the lifetime of grants to the entry, in milliseconds
	 * @param epoch the owner's epoch
	 * @param now the time
	 * @return false if it is older than one already taken in
	 */
	boolean heard(DemandItem item, long sentMillis, int lifetime, long epoch, long now) {
		if (this.demand != null && sentMillis < this.demandSentMillis) {
			return false;
		}
		boolean first = this.demand == null;
		if (first || served(item)) {
			this.waitingSince = NOT_WAITING;
		}
		this.demand = item;
		this.toldPeak = this.toldPeak.max(inUse());
		this.demandSentMillis = sentMillis;
		this.lifetimeMillis = lifetime;
		this.heardAt = now;
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
	 * Notes a grant just sent.
	 * @param number its number
	 * @param amount what was granted
	 * @param now the time
	 */
	void granted(long number, Amount amount, long now) {
		this.outstanding.addLast(new Outstanding(number, amount, now + nanos(this.lifetimeMillis)));
		if (this.waitingSince == NOT_WAITING && starved(amount)) {
			this.waitingSince = now;
		}
	}

	/**
	 * The last grant, whether or not it has expired.
	 * @return the amount; nothing before the first grant
	 */
	Amount lastGrant() {
		Outstanding last = this.outstanding.peekLast();
		return (last != null && last.number != FORMER_OWNER) ? last.amount : Amount.NONE;
	}

	/**
	 * The most the entry may have in flight.
	 * @param now the time
	 * @param equal the equal split of the capacity
	 * @param floor what a cut-off entry may always use
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
	 * The sum of parts granted and not expired, for checks.
	 * @param now the time
	 * @return the largest live grant
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
	 * Whether the entry gave back all it had and wants nothing.
	 * @return true if it needs no account any more
	 */
	boolean gone() {
		return resigned() && this.outstanding.isEmpty();
	}

	boolean resigned() {
		return this.demand.slotsWanted() == 0 && this.demand.inFlight() == 0 && this.demand.heldSlots() == 0;
	}

	/**
	 * Whether the entry couldn't start its next request under a grant.
	 * @param grant the grant
	 * @return true if work waits there for room
	 */
	boolean starved(Amount grant) {
		boolean slots = this.demand.slotsWanted() > this.demand.inFlight() && grant.slots() <= this.demand.inFlight();
		boolean memory = this.demand.kvLargest() > 0
				&& grant.kvTokens() < this.demand.kvInUse() + this.demand.kvLargest();
		return slots || memory;
	}

	// The turn ends when something was started, not when it was made possible: otherwise
	// the next in turn would be given the memory before the first could use it.
	private boolean served(DemandItem item) {
		boolean started = item.inFlight() > this.demand.inFlight() || item.kvInUse() > this.demand.kvInUse();
		boolean nothingWaits = item.kvLargest() == 0 && item.slotsWanted() <= item.inFlight();
		return started || nothingWaits;
	}

	private void acknowledge(DemandItem item) {
		long needed = resigned() ? item.grant() + 1 : item.grant();
		this.outstanding.removeIf((grant) -> grant.number < needed);
	}

	private void takeOver(DemandItem item, int lifetime, long now) {
		this.outstanding.removeIf((grant) -> grant.number == FORMER_OWNER);
		if (item.heldSlots() > 0 || item.heldKv() > 0) {
			Amount held = new Amount(item.heldSlots(), item.heldKv());
			this.outstanding.addFirst(new Outstanding(FORMER_OWNER, held, now + nanos(lifetime)));
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
			// What was started under the grant may still run, so the whole of it counts
			// until the entry is heard again. Were only its shrinking share counted, a
			// late demand would let others fill what its requests still use.
			Amount share = OwnerlessShare.of(this.amount, equal, floor, now - this.expiresAt, lifetime);
			return share.max(this.amount);
		}

	}

}
