package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
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

	/** An entry that was silent for so long no longer counts. */
	private static final long SILENT_LIMIT = Duration.ofSeconds(60).toNanos();

	/** Of slots and memory, this part stays with entries however much is held. */
	private static final double SHORT_WORK_SHARE = 0.15;

	/**
	 * So long after a reservation began to collect, entries have no more than is kept.
	 */
	private static final long COLLECTED_WITHIN = Duration.ofSeconds(10).toNanos();

	/** A change of memory below this part of the capacity isn't pushed. */
	private static final int WORTHWHILE_PARTS = 64;

	private final Map<VmId, EntryAccount> entries = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));

	private final UnknownUse unknown = new UnknownUse();

	private final Amount floor;

	private final long settledAt;

	private final long epoch;

	private LoadReport report;

	private Amount held = Amount.NONE;

	private Amount collecting = Amount.NONE;

	private Amount usedBefore = Amount.NONE;

	private long collectingSince;

	private int equalEntries = 1;

	private int members = Integer.MAX_VALUE;

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

	Collection<EntryAccount> entries() {
		return this.entries.values();
	}

	LoadReport report() {
		return this.report;
	}

	Amount capacity() {
		return (this.report != null) ? new Amount(this.report.slots(), this.report.kvCapacity()) : Amount.NONE;
	}

	Amount held() {
		return this.held;
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
	 * Sets what is held for reservations.
	 * @param amount memory and slots held
	 * @param needed what a waiting reservation still needs
	 * @param now the time
	 */
	void hold(Amount amount, Amount needed, long now) {
		boolean begins = this.collecting.equals(Amount.NONE) && !needed.equals(Amount.NONE);
		if (begins) {
			this.collectingSince = now;
			this.usedBefore = used();
		}
		this.held = amount;
		this.collecting = needed;
	}

	/**
	 * The most that may ever be held, so that short work always has a part.
	 * @return the amount; nothing if the capacity is unknown
	 */
	Amount holdable() {
		Amount capacity = capacity();
		int slots = capacity.slots() - Math.max(1, (int) (capacity.slots() * SHORT_WORK_SHARE));
		return new Amount(slots, (long) (capacity.kvTokens() * (1 - SHORT_WORK_SHARE))).max(Amount.NONE);
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
		this.entries.values().forEach(EntryAccount::endpointReported);
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
		EntryAccount account = this.entries.get(from.vm());
		if (account != null && account.entry().start() > from.start()) {
			return null;
		}
		if (account == null || account.entry().start() < from.start()) {
			account = new EntryAccount(from);
			this.unknown.entryForgotten();
			this.entries.put(from.vm(), account);
		}
		return account.heard(item, sentMillis, lifetimeMillis, this.epoch, now) ? account : null;
	}

	/**
	 * Forgets an entry that no longer runs, once its grants have expired.
	 * @param vm the entry
	 * @param now the time
	 */
	void died(VmId vm, long now) {
		EntryAccount account = this.entries.get(vm);
		if (account != null && account.live(now).equals(Amount.NONE)) {
			this.entries.remove(vm);
			this.unknown.entryForgotten();
		}
	}

	/**
	 * Forgets entries silent for too long, and those that want nothing once every grant
	 * of a former owner has expired.
	 * @param now the time
	 */
	void prune(long now) {
		this.entries.values().removeIf((entry) -> now > this.settledAt && entry.gone());
		if (this.entries.values().removeIf((entry) -> now - entry.heardAt() > SILENT_LIMIT)) {
			this.unknown.entryForgotten();
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
		boolean waiting = !this.collecting.equals(Amount.NONE);
		for (EntryAccount entry : this.entries.values()) {
			waiting |= entry.starved(entry.lastGrant());
		}
		if (!waiting) {
			return List.of();
		}
		Balance balance = balance(now);
		List<EntryAccount> result = new ArrayList<>();
		for (EntryAccount entry : this.entries.values()) {
			if (!entry.resigned() && wantsPush(entry, balance.grantable(entry))) {
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
		Amount sum = Amount.NONE;
		for (EntryAccount entry : this.entries.values()) {
			sum = sum.plus(bound(entry, now));
		}
		return sum;
	}

	/**
	 * The sum of the live grants.
	 * @param now the time
	 * @return the sum
	 */
	Amount live(long now) {
		Amount sum = Amount.NONE;
		for (EntryAccount entry : this.entries.values()) {
			sum = sum.plus(entry.live(now));
		}
		return sum;
	}

	private Amount used() {
		Amount sum = Amount.NONE;
		for (EntryAccount entry : this.entries.values()) {
			sum = sum.plus(entry.inUse());
		}
		return sum;
	}

	private Amount knownUse() {
		Amount sum = this.held;
		for (EntryAccount entry : this.entries.values()) {
			sum = sum.plus(entry.toldPeak());
		}
		return sum;
	}

	private boolean wantsPush(EntryAccount entry, Amount next) {
		Amount last = entry.lastGrant();
		long worthwhile = capacity().kvTokens() / WORTHWHILE_PARTS;
		boolean grows = next.slots() > last.slots() || next.kvTokens() > last.kvTokens();
		boolean shrinks = next.slots() < last.slots() || last.kvTokens() - next.kvTokens() > worthwhile;
		return shrinks || (grows && entry.starved(last));
	}

	private Amount bound(EntryAccount entry, long now) {
		return entry.bound(now, OwnerlessShare.equalSplit(capacity(), this.equalEntries), this.floor);
	}

	private Balance balance(long now) {
		List<EntryAccount> accounts = new ArrayList<>(this.entries.values());
		accounts.removeIf(EntryAccount::resigned);
		List<Amount> bounds = new ArrayList<>(accounts.size());
		for (EntryAccount account : accounts) {
			bounds.add(bound(account, now));
		}
		Amount available = available(now);
		Amount free = spare(now).min(available.minus(committed(now)));
		return new Balance(accounts, bounds, available, free);
	}

	// While a reservation collects, entries may have less and less, down to what it
	// leaves or the part kept for short work. Were everything that is freed given to it
	// at once, short work would stand still until the longest requests have ended.
	private Amount available(long now) {
		Amount rest = capacity().minus(this.held).minus(unknownUse());
		if (this.collecting.equals(Amount.NONE)) {
			return rest.max(Amount.NONE);
		}
		Amount kept = capacity().minus(holdable()).min(rest);
		double passed = Math.min(1, (double) (now - this.collectingSince) / COLLECTED_WITHIN);
		Amount shrinking = this.usedBefore.times(1 - passed).min(rest);
		return rest.minus(this.collecting).max(kept).max(shrinking).max(Amount.NONE);
	}

	private Amount spare(long now) {
		return capacity().minus(this.held).minus(unknownUse()).minus(committed(now)).minus(unheard(now));
	}

	private boolean unsettled(long now) {
		return now < this.settledAt && this.entries.size() < this.members;
	}

	// What entries that this owner hasn't heard yet may hold from its predecessor.
	private Amount unheard(long now) {
		if (!unsettled(now)) {
			return Amount.NONE;
		}
		Amount heard = Amount.NONE;
		for (EntryAccount entry : this.entries.values()) {
			heard = heard.plus(entry.takenOver());
		}
		return capacity().minus(heard).max(Amount.NONE);
	}

}
