package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.bramleyscale.internal.endpoint.Amount;

/**
 * The fair targets of all entries of one endpoint at one moment, and what may be granted.
 *
 * <p>
 * Slots and memory are each divided max-min fairly by what the entries want. A request
 * whose memory exceeds its entry's fair part would never start, so the entry that has
 * waited longest is given enough for it, one entry at a time; the others keep a part.
 * Confined to the scheduler's thread; valid only until the next change of the account.
 */
final class Balance {

	/** Of the KV memory that could be granted, this part stays free for holds. */
	private static final double HOLD_HEADROOM = 0.05;

	/** Of what nobody asked for, this part is given out, so that bursts needn't wait. */
	private static final double GIVEN_AHEAD = 0.5;

	/** Of the memory, this part stays with the others while one entry collects. */
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
	 * @param bounds what each may have in flight
	 * @param divisible what may be divided among entries
	 * @param free what no entry can be using and nothing holds; negative if exceeded
	 * @param collection the collection of memory under way, or 0; what entries began
	 * before it isn't part of what is divided
	 */
	Balance(List<EntryAccount> accounts, List<Amount> bounds, Amount divisible, Amount free, int collection) {
		this.accounts = accounts;
		this.bounds = bounds;
		this.free = free;
		this.collection = collection;
		this.slotTargets = withAhead(divisible.slots(), wantedSlots());
		this.memoryTargets = memory((long) (divisible.kvTokens() * (1 - HOLD_HEADROOM)));
	}

	/**
	 * What an entry may be granted: its target, as far as the others leave room for it.
	 * @param entry its account
	 * @return the grant
	 */
	Amount grantable(EntryAccount entry) {
		int index = this.accounts.indexOf(entry);
		if (index < 0) {
			return Amount.NONE;
		}
		long memory = this.memoryTargets[index] + entry.olderKv(this.collection);
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
			long wanted = (account != except) ? account.wanted().kvTokens() - account.olderKv(this.collection) : 0;
			claims.add(new FairShares.Claim(Math.max(0, wanted), account.waitingSince()));
		}
		return claims;
	}

	private long[] memory(long available) {
		long[] targets = withAhead(available, wantedMemory(null));
		EntryAccount collector = collector(targets, available);
		if (collector == null) {
			return targets;
		}
		long needed = neededForNext(collector);
		targets = FairShares.divide(available - needed, wantedMemory(collector));
		targets[this.accounts.indexOf(collector)] = needed;
		return targets;
	}

	private EntryAccount collector(long[] targets, long available) {
		List<EntryAccount> stuck = new ArrayList<>();
		for (int i = 0; i < targets.length; i++) {
			EntryAccount account = this.accounts.get(i);
			long needed = neededForNext(account);
			boolean waits = account.demand().kvLargest() > 0 && needed > targets[i];
			if (waits && needed <= available * (1 - SHORT_WORK_SHARE)) {
				stuck.add(account);
			}
		}
		return stuck.stream().min(Comparator.comparingLong(EntryAccount::waitingSince)).orElse(null);
	}

	private long neededForNext(EntryAccount account) {
		return account.inUse().kvTokens() + account.demand().kvLargest() - account.olderKv(this.collection);
	}

	private static long[] withAhead(long available, List<FairShares.Claim> claims) {
		long[] shares = FairShares.divide(Math.max(0, available), claims);
		long left = available;
		for (long share : shares) {
			left -= share;
		}
		long ahead = (long) (Math.max(0, left) * GIVEN_AHEAD / Math.max(1, claims.size()));
		for (int i = 0; i < shares.length; i++) {
			shares[i] += ahead;
		}
		return shares;
	}

}
