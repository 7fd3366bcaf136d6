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
 * Invariant: one account a VM, that of its latest incarnation heard. Confined to the
 * scheduler's thread.
 */
final class EntryAccounts {

	/** An entry that was silent for so long no longer counts. */
	private static final long SILENT_LIMIT = Duration.ofSeconds(60).toNanos();

	private final Map<VmId, EntryAccount> accounts = new TreeMap<>(Comparator.comparing(VmId::value));

	private final Runnable forgotten;

	/**
	 * Begins without accounts.
	 * @param forgotten called when an account is forgotten whose requests may still run
	 */
	EntryAccounts(Runnable forgotten) {
		this.forgotten = forgotten;
	}

	Collection<EntryAccount> all() {
		return this.accounts.values();
	}

	boolean has(VmId vm) {
		return this.accounts.containsKey(vm);
	}

	/**
	 * The accounts of entries that use or want something.
	 * @return the accounts in a stable order
	 */
	List<EntryAccount> wanting() {
		List<EntryAccount> result = new ArrayList<>(this.accounts.values());
		result.removeIf(EntryAccount::resigned);
		return result;
	}

	/**
	 * The account of an incarnation, opened if there is none.
	 * @param entry the incarnation
	 * @return the account, or null if a later incarnation of the VM was heard
	 */
	EntryAccount of(Incarnation entry) {
		EntryAccount account = this.accounts.get(entry.vm());
		if (account != null && account.entry().start() > entry.start()) {
			return null;
		}
		if (account != null && account.entry().equals(entry)) {
			return account;
		}
		EntryAccount opened = new EntryAccount(entry);
		this.accounts.put(entry.vm(), opened);
		if (account != null) {
			this.forgotten.run();
		}
		return opened;
	}

	/**
	 * Forgets an entry that no longer runs, once its grants have expired.
	 * @param vm the entry
	 * @param now the time
	 */
	void died(VmId vm, long now) {
		EntryAccount account = this.accounts.get(vm);
		if (account != null && account.live(now).equals(Amount.NONE)) {
			this.accounts.remove(vm);
			this.forgotten.run();
		}
	}

	void forgetSilent(long now) {
		if (this.accounts.values().removeIf((account) -> now - account.heardAt() > SILENT_LIMIT)) {
			this.forgotten.run();
		}
	}

	void forgetGone() {
		this.accounts.values().removeIf(EntryAccount::gone);
	}

	Amount sum(Function<EntryAccount, Amount> part) {
		Amount sum = Amount.NONE;
		for (EntryAccount account : this.accounts.values()) {
			sum = sum.plus(part.apply(account));
		}
		return sum;
	}

}
