package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.endpoint.Amount;

/**
 * The accounts of all entries of one endpoint.
 *
 * <p>
 * Invariant: there is at most one account per VM, that of the latest incarnation that
 * sent a demand. Confined to the scheduler's thread.
 */
final class EntryAccounts {

	/** An entry that has sent no demand for this time is removed. */
	private static final long UNRESPONSIVE_AFTER = Duration.ofSeconds(60).toNanos();

	private final Map<VmId, EntryAccount> accounts = new TreeMap<>(Comparator.comparing(VmId::value));

	private final Runnable onRemoved;

	/**
	 * Creates an empty set of accounts.
	 * @param onRemoved called when an account is removed whose requests may still run
	 */
	EntryAccounts(Runnable onRemoved) {
		this.onRemoved = onRemoved;
	}

	Collection<EntryAccount> all() {
		return this.accounts.values();
	}

	boolean has(VmId vm) {
		return this.accounts.containsKey(vm);
	}

	/**
	 * Returns the accounts of entries that use or want capacity.
	 * @return the accounts in a stable order
	 */
	List<EntryAccount> active() {
		List<EntryAccount> result = new ArrayList<>(this.accounts.values());
		result.removeIf(EntryAccount::idle);
		return result;
	}

	/**
	 * Returns the account of an incarnation and creates it if there is none.
	 * @param entry the incarnation
	 * @return the account, or null if a later incarnation of the VM has an account
	 */
	EntryAccount of(Incarnation entry) {
		EntryAccount account = this.accounts.get(entry.vm());
		if (account != null && account.entry().start() > entry.start()) {
			return null;
		}
		if (account != null && account.entry().equals(entry)) {
			return account;
		}
		EntryAccount created = new EntryAccount(entry);
		this.accounts.put(entry.vm(), created);
		if (account != null) {
			this.onRemoved.run();
		}
		return created;
	}

	/**
	 * Removes the account of an entry that no longer runs, once its grants have expired.
	 * @param vm the entry
	 * @param now the time
	 */
	void removeFailed(VmId vm, long now) {
		EntryAccount account = this.accounts.get(vm);
		if (account != null && account.live(now).equals(Amount.NONE)) {
			this.accounts.remove(vm);
			this.onRemoved.run();
		}
	}

	void removeUnresponsive(long now) {
		if (this.accounts.values().removeIf((account) -> now - account.lastContactAt() > UNRESPONSIVE_AFTER)) {
			this.onRemoved.run();
		}
	}

	void removeUnused() {
		this.accounts.values().removeIf(EntryAccount::removable);
	}

	Amount sum(Function<EntryAccount, Amount> part) {
		Amount sum = Amount.NONE;
		for (EntryAccount account : this.accounts.values()) {
			sum = sum.plus(part.apply(account));
		}
		return sum;
	}

}
