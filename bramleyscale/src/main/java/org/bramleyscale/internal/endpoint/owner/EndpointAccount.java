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

	/** Of the KV memory that nobody uses, this part stays free for holds. */
	private static final double HOLD_HEADROOM = 0.05;

	/** Of what nobody asked for, this part is given out, so that bursts needn't wait. */
	private static final double GIVEN_AHEAD = 0.5;

	private final Map<VmId, EntryAccount> entries = new TreeMap<>((a, b) -> a.value().compareTo(b.value()));

	private final Amount floor;

	private final long settledAt;

	private final long epoch;

	private LoadReport report;

	private Amount unattributed = Amount.NONE;

	private Amount held = Amount.NONE;

	private long collecting;

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

	Amount unattributed() {
		return this.unattributed;
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
	 * @param collectingKv tokens of KV memory that a waiting reservation still needs
	 */
	void hold(Amount amount, long collectingKv) {
		this.held = amount;
		this.collecting = collectingKv;
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
			this.unattributed = Amount.NONE;
			return;
		}
		Amount known = this.held;
		for (EntryAccount entry : this.entries.values()) {
			known = known.plus(entry.inUse());
		}
		Amount used = new Amount(newer.running() + newer.waiting(), newer.kvUsed());
		this.unattributed = used.minus(known).max(Amount.NONE);
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
		}
	}

	/**
	 * Forgets entries silent for too long, and those that want nothing once every grant
	 * of a former owner has expired.
	 * @param now the time
	 */
	void prune(long now) {
		this.entries.values()
			.removeIf((entry) -> (now - entry.heardAt() > SILENT_LIMIT) || (now > this.settledAt && entry.gone()));
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
		Amount target = target(entry, now);
		Amount free = freeFor(entry, now);
		Amount granted = target.min(free).max(Amount.NONE);
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
		boolean waiting = this.collecting > 0;
		for (EntryAccount entry : this.entries.values()) {
			waiting |= entry.starved(entry.lastGrant());
		}
		if (!waiting) {
			return List.of();
		}
		List<EntryAccount> result = new ArrayList<>();
		for (EntryAccount entry : this.entries.values()) {
			if (!entry.resigned() && wantsPush(entry, now)) {
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

	private boolean wantsPush(EntryAccount entry, long now) {
		Amount last = entry.lastGrant();
		Amount next = grantable(entry, now);
		if (entry.starved(last)) {
			return next.slots() > last.slots() || next.kvTokens() > last.kvTokens();
		}
		return next.slots() < last.slots() || next.kvTokens() < last.kvTokens() / 2;
	}

	private Amount bound(EntryAccount entry, long now) {
		return entry.bound(now, OwnerlessShare.equalSplit(capacity(), this.equalEntries), this.floor);
	}

	private Amount freeFor(EntryAccount entry, long now) {
		Amount others = committed(now).minus(bound(entry, now));
		return capacity().minus(this.held).minus(this.unattributed).minus(others).minus(unheard(now));
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

	private Amount target(EntryAccount entry, long now) {
		Amount available = capacity().minus(this.held).minus(this.unattributed).max(Amount.NONE);
		List<EntryAccount> accounts = new ArrayList<>();
		for (EntryAccount account : this.entries.values()) {
			if (!account.resigned()) {
				accounts.add(account);
			}
		}
		int index = accounts.indexOf(entry);
		if (index < 0) {
			return Amount.NONE;
		}
		int slots = (int) share(available.slots(), slotClaims(accounts), index);
		long usableKv = (long) (available.kvTokens() * (1 - HOLD_HEADROOM));
		long kv = share(usableKv, memoryClaims(accounts), index);
		return new Amount(slots, kv);
	}

	private static long share(long available, List<FairShares.Claim> claims, int index) {
		long[] shares = FairShares.divide(available, claims);
		long left = available;
		for (long share : shares) {
			left -= share;
		}
		return shares[index] + (long) (left * GIVEN_AHEAD / claims.size());
	}

	private static List<FairShares.Claim> slotClaims(List<EntryAccount> accounts) {
		return accounts.stream()
			.map((account) -> new FairShares.Claim(account.wanted().slots(), account.waitingSince()))
			.toList();
	}

	private static List<FairShares.Claim> memoryClaims(List<EntryAccount> accounts) {
		return accounts.stream()
			.map((account) -> new FairShares.Claim(account.wanted().kvTokens(), account.waitingSince()))
			.toList();
	}

}
