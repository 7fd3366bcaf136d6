package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.DemandItem;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.endpoint.OwnerlessShare;

/**
 * The exact account of one endpoint: what each entry may use, and what is held.
 *
 * <p>
 * Invariant: what entries may have in flight plus what is held is never raised above the
 * reported capacity. Exceptions, each bounded: one slot for an entry that was never heard
 * or is cut off, and shares of a former owner's grants that outlive the wait of a new
 * owner. Confined to the scheduler's thread.
 */
final class EndpointAccount {

	/** A change of memory below this part of the capacity isn't pushed. */
	private static final int WORTHWHILE_PARTS = 64;

	private final UnknownUse unknown = new UnknownUse();

	private final EntryAccounts entries = new EntryAccounts(this.unknown::entryForgotten);

	private final HoldingShare holding = new HoldingShare();

	private final Amount floor;

	private final long settledAt;

	private final long epoch;

	private LoadReport report;

	private int equalEntries = 1;

	private int members = Integer.MAX_VALUE;

	private int cutOff;

	private long lastNumber;

	/**
	 * Opens an account.
	 * @param epoch the owner's epoch
	 * @param floor what a cut-off entry may always use
	 * @param settledAt when all grants of a former owner have expired
	 */
	EndpointAccount(long epoch, Amount floor, long settledAt) {
		this.epoch = epoch;
		this.floor = floor;
		this.settledAt = settledAt;
	}

	EntryAccounts entries() {
		return this.entries;
	}

	LoadReport report() {
		return this.report;
	}

	Amount capacity() {
		return (this.report != null) ? new Amount(this.report.slots(), this.report.kvCapacity()) : Amount.NONE;
	}

	Amount held() {
		return this.holding.held();
	}

	/**
	 * The number of the collection of memory under way.
	 * @return the number; 0 if there is none
	 */
	int collection() {
		return this.holding.collection();
	}

	Amount unknownUse() {
		return this.unknown.amount(knownUse());
	}

	/**
	 * Sets how many daemons there are.
	 * @param sharing how many entries use the endpoint
	 * @param live how many daemons may hold grants of a former owner
	 */
	void members(int sharing, int live) {
		this.equalEntries = sharing;
		this.members = live;
	}

	/**
	 * Sets how many entries without an account are cut off and use their equal split.
	 * @param entries the number
	 */
	void cutOff(int entries) {
		this.cutOff = entries;
	}

	/**
	 * Sets what is held for reservations.
	 * @param amount memory and slots held
	 * @param needed what a waiting reservation still needs
	 */
	void hold(Amount amount, Amount needed) {
		this.holding.set(amount, needed);
	}

	/**
	 * The most that may ever be held, so that short work always has a part.
	 * @return the amount; nothing if the capacity is unknown
	 */
	Amount holdable() {
		return this.holding.holdable(capacity());
	}

	/**
	 * Whether an amount could be held now without any entry losing what it may use.
	 * @param amount the amount
	 * @param now the time
	 * @return true if it is free
	 */
	boolean free(Amount amount, long now) {
		return this.report != null && !unsettled(now) && amount.within(spare(now));
	}

	/**
	 * Takes in a report. A report of a new boot means that nothing of the former boot is
	 * at work any more.
	 * @param newer the report
	 */
	void reported(LoadReport newer) {
		boolean rebooted = this.report != null && this.report.boot() != newer.boot();
		this.report = newer;
		if (rebooted) {
			this.unknown.clear();
		}
		Amount reported = new Amount(newer.running() + newer.waiting(), newer.kvUsed());
		this.unknown.reported(reported, knownUse());
		this.entries.all().forEach(EntryAccount::endpointReported);
	}

	/**
	 * Takes in a demand.
	 * @param from the entry
	 * @param item the demand
	 * @param sentMillis when the entry sent it, by its clock
	 * @param lifetimeMillis the lifetime of grants to the entry
	 * @param now the time
	 * @return the entry's account, or null if the demand is out of date
	 */
	EntryAccount demanded(Incarnation from, DemandItem item, long sentMillis, int lifetimeMillis, long now) {
		EntryAccount account = this.entries.of(from);
		boolean current = account != null && account.heard(item, sentMillis, lifetimeMillis, this.epoch, now);
		return current ? account : null;
	}

	/**
	 * Forgets entries silent for too long, and those that want nothing once every grant
	 * of a former owner has expired.
	 * @param now the time
	 */
	void prune(long now) {
		this.entries.forgetSilent(now);
		if (now > this.settledAt) {
			this.entries.forgetGone();
		}
	}

	/**
	 * What an entry is granted now.
	 * @param entry the entry's account
	 * @param now the time
	 * @return the grant; at most what the other entries and the holds leave
	 */
	Amount grantable(EntryAccount entry, long now) {
		if (this.report == null) {
			return this.floor;
		}
		Amount granted = balance(now).grantable(entry);
		return unsettled(now) ? granted.max(entry.takenOver()).max(this.floor) : granted;
	}

	/**
	 * Notes that a grant is sent.
	 * @param entry the entry's account
	 * @param amount the grant
	 * @param now the time
	 * @return the grant's number
	 */
	long granted(EntryAccount entry, Amount amount, long now) {
		this.lastNumber++;
		entry.granted(this.lastNumber, amount, now);
		return this.lastNumber;
	}

	/**
	 * The entries whose grant should change before they ask: those that hold more than
	 * their fair share while another waits, and those that wait and could have more.
	 * @param now the time
	 * @return the accounts
	 */
	List<EntryAccount> unbalanced(long now) {
		if (this.report == null || unsettled(now)) {
			return List.of();
		}
		boolean starved = this.entries.all().stream().anyMatch((entry) -> entry.starved(entry.lastGrant()));
		if (!starved && !this.holding.collects()) {
			return List.of();
		}
		Balance balance = balance(now);
		List<EntryAccount> result = new ArrayList<>();
		for (EntryAccount entry : this.entries.wanting()) {
			if (wantsPush(entry, balance.grantable(entry))) {
				result.add(entry);
			}
		}
		return result;
	}

	/**
	 * The sum of what all entries may have in flight.
	 * @param now the time
	 * @return the sum
	 */
	Amount committed(long now) {
		Amount equal = OwnerlessShare.equalSplit(capacity(), this.equalEntries);
		return this.entries.sum((entry) -> entry.bound(now, equal, this.floor));
	}

	/**
	 * The sum of the live grants.
	 * @param now the time
	 * @return the sum
	 */
	Amount live(long now) {
		return this.entries.sum((entry) -> entry.live(now));
	}

	private Amount knownUse() {
		return this.entries.sum(EntryAccount::toldPeak).plus(held());
	}

	private boolean wantsPush(EntryAccount entry, Amount next) {
		Amount last = entry.lastGrant();
		long worthwhile = capacity().kvTokens() / WORTHWHILE_PARTS;
		boolean grows = next.slots() > last.slots() || next.kvTokens() > last.kvTokens();
		boolean shrinks = next.slots() < last.slots() || last.kvTokens() - next.kvTokens() > worthwhile;
		return shrinks || (grows && entry.starved(last));
	}

	private Balance balance(long now) {
		List<EntryAccount> accounts = this.entries.wanting();
		Amount equal = OwnerlessShare.equalSplit(capacity(), this.equalEntries);
		List<Amount> bounds = new ArrayList<>(accounts.size());
		for (EntryAccount account : accounts) {
			bounds.add(account.bound(now, equal, this.floor));
		}
		Amount rest = capacity().minus(held()).minus(unknownUse());
		Amount divisible = this.holding.divisible(capacity(), rest);
		long olderKv = accounts.stream().mapToLong((account) -> account.olderKv(collection())).sum();
		Amount free = spare(now).min(divisible.plus(new Amount(0, olderKv)).minus(committed(now)));
		return new Balance(accounts, bounds, divisible, free, collection());
	}

	private Amount spare(long now) {
		Amount kept = unheard(now).max(OwnerlessShare.equalSplit(capacity(), this.equalEntries).times(this.cutOff));
		return capacity().minus(held()).minus(unknownUse()).minus(committed(now)).minus(kept);
	}

	private boolean unsettled(long now) {
		return now < this.settledAt && this.entries.all().size() < this.members;
	}

	// What entries that this owner hasn't heard yet may hold from its predecessor.
	private Amount unheard(long now) {
		if (!unsettled(now)) {
			return Amount.NONE;
		}
		return capacity().minus(this.entries.sum(EntryAccount::takenOver)).max(Amount.NONE);
	}

}
