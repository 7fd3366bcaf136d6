package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.bramleyscale.internal.endpoint.Amount;

/**
 * Computes each entry's max-min fair share of one endpoint and the grant that it may
 * have.
 *
 * <p>
 * Slots and KV memory are each divided max-min fairly by what the entries want. A request
 * that needs more memory than its entry's fair share would never start, so the entry that
 * has waited longest gets enough memory for its request, one entry at a time; the others
 * keep a part of the memory. Valid only until the account next changes. Confined to the
 * scheduler's thread.
 */
final class GrantTargets {

	/** Fraction of the grantable KV memory that stays free for holds. */
	private static final double HOLD_HEADROOM = 0.05;

	/**
	 * Fraction of the unrequested capacity that is granted in advance, so that bursts
	 * need not wait.
	 */
	private static final double SURPLUS_SHARE = 0.5;

	/**
	 * Fraction of the memory that the other entries keep while one entry collects memory.
	 */
	private static final double SHORT_WORK_SHARE = 0.15;

	private final List<EntryAccount> accounts;

	private final List<Amount> bounds;

	private final Amount free;

	private final int collection;

	private final long[] slotTargets;

	private final long[] memoryTargets;

	/**
	 * Computes the targets.
	 * @param accounts the entries' accounts
	 * @param bounds the most that each entry may have in flight
	 * @param divisible the capacity to divide among the entries
	 * @param free capacity that no entry can be using and no hold occupies; negative if
	 * overcommitted
	 * @param collection the number of the memory collection in progress, or 0; the memory
	 * of requests begun before it is not part of what is divided
	 */
	GrantTargets(List<EntryAccount> accounts, List<Amount> bounds, Amount divisible, Amount free, int collection) {
		this.accounts = accounts;
		this.bounds = bounds;
		this.free = free;
		this.collection = collection;
		this.slotTargets = divideWithSurplus(divisible.slots(), wantedSlots());
		this.memoryTargets = divideMemory((long) (divisible.kvTokens() * (1 - HOLD_HEADROOM)));
	}

	/**
	 * Returns the grant that an entry may have: its target, limited by what the other
	 * entries leave free.
	 * @param entry the entry's account
	 * @return the grant
	 */
	Amount grantable(EntryAccount entry) {
		int index = this.accounts.indexOf(entry);
		if (index < 0) {
			return Amount.NONE;
		}
		long memory = this.memoryTargets[index] + entry.kvBeforeCollection(this.collection);
		Amount target = new Amount((int) this.slotTargets[index], memory);
		return target.min(this.free.plus(this.bounds.get(index))).max(Amount.NONE);
	}

	private List<FairShares.Claim> wantedSlots() {
		List<FairShares.Claim> claims = new ArrayList<>(this.accounts.size());
		for (EntryAccount account : this.accounts) {
			claims.add(new FairShares.Claim(account.wanted().slots(), account.waitingSince()));
		}
		return claims;
	}

	private List<FairShares.Claim> wantedMemory(EntryAccount except) {
		List<FairShares.Claim> claims = new ArrayList<>(this.accounts.size());
		for (EntryAccount account : this.accounts) {
			long wanted = (account != except)
					? account.wanted().kvTokens() - account.kvBeforeCollection(this.collection) : 0;
			claims.add(new FairShares.Claim(Math.max(0, wanted), account.waitingSince()));
		}
		return claims;
	}

	private long[] divideMemory(long available) {
		long[] targets = divideWithSurplus(available, wantedMemory(null));
		EntryAccount collector = collectingEntry(targets, available);
		if (collector == null) {
			return targets;
		}
		long needed = neededForNext(collector);
		targets = FairShares.divide(available - needed, wantedMemory(collector));
		targets[this.accounts.indexOf(collector)] = needed;
		return targets;
	}

	private EntryAccount collectingEntry(long[] targets, long available) {
		List<EntryAccount> blocked = new ArrayList<>();
		for (int i = 0; i < targets.length; i++) {
			EntryAccount account = this.accounts.get(i);
			long needed = neededForNext(account);
			boolean waiting = account.demand().kvLargest() > 0 && needed > targets[i];
			if (waiting && needed <= available * (1 - SHORT_WORK_SHARE)) {
				blocked.add(account);
			}
		}
		return blocked.stream().min(Comparator.comparingLong(EntryAccount::waitingSince)).orElse(null);
	}

	private long neededForNext(EntryAccount account) {
		return account.inUse().kvTokens() + account.demand().kvLargest() - account.kvBeforeCollection(this.collection);
	}

	private static long[] divideWithSurplus(long available, List<FairShares.Claim> claims) {
		long[] shares = FairShares.divide(Math.max(0, available), claims);
		long remaining = available;
		for (long share : shares) {
			remaining -= share;
		}
		long surplus = (long) (Math.max(0, remaining) * SURPLUS_SHARE / Math.max(1, claims.size()));
		for (int i = 0; i < shares.length; i++) {
			shares[i] += surplus;
		}
		return shares;
	}

}
