package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.DemandItem;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.endpoint.OwnerlessShare;

/**
 * Accounts for the capacity of one endpoint: what each entry may use and what is held for
 * reservations.
 *
 * <p>
 * Invariant: the sum of what entries may have in flight and what is held is never raised
 * above the reported capacity. There are two bounded exceptions: one slot for an entry
 * that has never contacted this owner or is partitioned from it, and shares of a former
 * owner's grants that outlive the new owner's waiting period. Confined to the scheduler's
 * thread.
 */
final class EndpointAccount {

	/**
	 * A decrease of a memory grant is pushed only if it exceeds the capacity divided by
	 * this number.
	 */
	private static final int MIN_PUSHED_CHANGE_DIVISOR = 64;

	private final UnattributedUse unattributed = new UnattributedUse();

	private final EntryAccounts entries = new EntryAccounts(this.unattributed::entryRemoved);

	private final ReservedShare reservedShare = new ReservedShare();

	private final Amount floor;

	private final long formerGrantsExpiry;

	private final long epoch;

	private LoadReport report;

	private int sharingEntries = 1;

	private int members = Integer.MAX_VALUE;

	private int unresponsiveEntries;

	private long lastNumber;

	/**
	 * Creates an account without entries.
	 * @param epoch the owner's epoch
	 * @param floor what a partitioned entry may always use
	 * @param formerGrantsExpiry when all grants of a former owner have expired
	 */
	EndpointAccount(long epoch, Amount floor, long formerGrantsExpiry) {
		this.epoch = epoch;
		this.floor = floor;
		this.formerGrantsExpiry = formerGrantsExpiry;
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
		return this.reservedShare.held();
	}

	/**
	 * Returns the number of the memory collection in progress.
	 * @return the number; 0 if there is none
	 */
	int collection() {
		return this.reservedShare.collection();
	}

	Amount unattributedUse() {
		return this.unattributed.amount(knownUse());
	}

	/**
	 * Sets the numbers of daemons that may use the endpoint or hold grants for it.
	 * @param sharing how many entries share the endpoint
	 * @param live how many daemons may still hold grants of a former owner
	 */
	void members(int sharing, int live) {
		this.sharingEntries = sharing;
		this.members = live;
	}

	/**
	 * Sets how many entries without an account are unresponsive and may use their equal
	 * split.
	 * @param entries the number of such entries
	 */
	void unresponsiveEntries(int entries) {
		this.unresponsiveEntries = entries;
	}

	/**
	 * Sets the capacity held for reservations.
	 * @param amount memory and slots held
	 * @param needed what a waiting reservation still needs
	 */
	void hold(Amount amount, Amount needed) {
		this.reservedShare.set(amount, needed);
	}

	/**
	 * Returns the most that may ever be held, so that short requests always keep a part.
	 * @return the amount; nothing if the capacity is unknown
	 */
	Amount holdable() {
		return this.reservedShare.holdable(capacity());
	}

	/**
	 * Returns whether an amount could be held now without reducing what any entry may
	 * use.
	 * @param amount the amount
	 * @param now the time
	 * @return true if it is free
	 */
	boolean free(Amount amount, long now) {
		return this.report != null && !formerGrantsPending(now) && amount.within(unallocated(now));
	}

	/**
	 * Processes a load report. A report with a new boot number means that no work of the
	 * former boot is left.
	 * @param latest the report
	 */
	void reportReceived(LoadReport latest) {
		boolean restarted = this.report != null && this.report.boot() != latest.boot();
		this.report = latest;
		if (restarted) {
			this.unattributed.clear();
		}
		Amount reported = new Amount(latest.running() + latest.waiting(), latest.kvUsed());
		this.unattributed.reportReceived(reported, knownUse());
		this.entries.all().forEach(EntryAccount::endpointReportReceived);
	}

	/**
	 * Processes a demand.
	 * @param from the entry
	 * @param item the demand
	 * @param sentMillis when the entry sent it, by its clock
	 * @param lifetimeMillis the lifetime of grants to the entry
	 * @param now the time
	 * @return the entry's account, or null if the demand is outdated
	 */
	EntryAccount demandReceived(Incarnation from, DemandItem item, long sentMillis, int lifetimeMillis, long now) {
		EntryAccount account = this.entries.of(from);
		boolean current = account != null && account.demandReceived(item, sentMillis, lifetimeMillis, this.epoch, now);
		return current ? account : null;
	}

	/**
	 * Removes the accounts of unresponsive entries and, once every grant of a former
	 * owner has expired, those of entries that want nothing.
	 * @param now the time
	 */
	void prune(long now) {
		this.entries.removeUnresponsive(now);
		if (now > this.formerGrantsExpiry) {
			this.entries.removeUnused();
		}
	}

	/**
	 * Returns what an entry may be granted now.
	 * @param entry the entry's account
	 * @param now the time
	 * @return the grant; limited by what the other entries and the holds leave free
	 */
	Amount grantable(EntryAccount entry, long now) {
		if (this.report == null) {
			return this.floor;
		}
		Amount granted = targets(now).grantable(entry);
		return formerGrantsPending(now) ? granted.max(entry.takenOver()).max(this.floor) : granted;
	}

	/**
	 * Records a grant that is being sent.
	 * @param entry the entry's account
	 * @param amount the grant
	 * @param now the time
	 * @return the grant's number
	 */
	long grantSent(EntryAccount entry, Amount amount, long now) {
		this.lastNumber++;
		entry.grantSent(this.lastNumber, amount, now);
		return this.lastNumber;
	}

	/**
	 * Returns the entries whose grant should change before their next demand: those that
	 * hold more than their fair share while another entry waits, and those that wait and
	 * could have more.
	 * @param now the time
	 * @return the accounts
	 */
	List<EntryAccount> unbalanced(long now) {
		if (this.report == null || formerGrantsPending(now)) {
			return List.of();
		}
		boolean starved = this.entries.all().stream().anyMatch((entry) -> entry.starved(entry.lastGrant()));
		if (!starved && !this.reservedShare.collects()) {
			return List.of();
		}
		GrantTargets targets = targets(now);
		List<EntryAccount> result = new ArrayList<>();
		for (EntryAccount entry : this.entries.active()) {
			if (wantsPush(entry, targets.grantable(entry))) {
				result.add(entry);
			}
		}
		return result;
	}

	/**
	 * Returns the sum of what all entries may have in flight.
	 * @param now the time
	 * @return the sum
	 */
	Amount committed(long now) {
		Amount equal = OwnerlessShare.equalSplit(capacity(), this.sharingEntries);
		return this.entries.sum((entry) -> entry.bound(now, equal, this.floor));
	}

	/**
	 * Returns the sum of the grants that have not expired.
	 * @param now the time
	 * @return the sum
	 */
	Amount live(long now) {
		return this.entries.sum((entry) -> entry.live(now));
	}

	private Amount knownUse() {
		return this.entries.sum(EntryAccount::declaredPeak).plus(held());
	}

	private boolean wantsPush(EntryAccount entry, Amount next) {
		Amount last = entry.lastGrant();
		long minChange = capacity().kvTokens() / MIN_PUSHED_CHANGE_DIVISOR;
		boolean grows = next.slots() > last.slots() || next.kvTokens() > last.kvTokens();
		boolean shrinks = next.slots() < last.slots() || last.kvTokens() - next.kvTokens() > minChange;
		return shrinks || (grows && entry.starved(last));
	}

	private GrantTargets targets(long now) {
		List<EntryAccount> accounts = this.entries.active();
		Amount equal = OwnerlessShare.equalSplit(capacity(), this.sharingEntries);
		List<Amount> bounds = new ArrayList<>(accounts.size());
		for (EntryAccount account : accounts) {
			bounds.add(account.bound(now, equal, this.floor));
		}
		Amount rest = capacity().minus(held()).minus(unattributedUse());
		Amount divisible = this.reservedShare.divisible(capacity(), rest);
		long kvBeforeCollection = accounts.stream()
			.mapToLong((account) -> account.kvBeforeCollection(collection()))
			.sum();
		Amount free = unallocated(now).min(divisible.plus(new Amount(0, kvBeforeCollection)).minus(committed(now)));
		return new GrantTargets(accounts, bounds, divisible, free, collection());
	}

	private Amount unallocated(long now) {
		Amount reserve = unclaimedFormerGrants(now)
			.max(OwnerlessShare.equalSplit(capacity(), this.sharingEntries).times(this.unresponsiveEntries));
		return capacity().minus(held()).minus(unattributedUse()).minus(committed(now)).minus(reserve);
	}

	private boolean formerGrantsPending(long now) {
		return now < this.formerGrantsExpiry && this.entries.all().size() < this.members;
	}

	// Returns what entries that have not yet contacted this owner may hold from its
	// predecessor.
	private Amount unclaimedFormerGrants(long now) {
		if (!formerGrantsPending(now)) {
			return Amount.NONE;
		}
		return capacity().minus(this.entries.sum(EntryAccount::takenOver)).max(Amount.NONE);
	}

}
