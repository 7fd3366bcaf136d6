package org.bramleyscale.standins.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.internal.address.AddressAnswer;

/**
 * A cache of the addresses that callers use, renewed from a random daemon on expiry.
 *
 * <p>
 * Confined to the test's thread.
 */
final class AddressCache {

	private final Fleet fleet;

	private final Map<ClientAccountId, CachedAnswer> cache = new HashMap<>();

	AddressCache(Fleet fleet) {
		this.fleet = fleet;
	}

	/**
	 * The entries that an account may call.
	 * @param account the account
	 * @return the entries, possibly none
	 */
	List<AddressAnswer.Entry> entries(ClientAccountId account) {
		CachedAnswer cached = this.cache.get(account);
		long now = this.fleet.scheduler().nanos();
		if (cached != null && now < cached.expiresAt) {
			return cached.answer.entries();
		}
		List<FleetDaemon> running = this.fleet.daemons().stream().filter(FleetDaemon::running).toList();
		FleetDaemon daemon = running.get(this.fleet.random().nextInt(running.size()));
		AddressAnswer answer = daemon.slices().addresses().addresses(account);
		this.cache.put(account, new CachedAnswer(answer, now + answer.keepFor().toNanos()));
		return answer.entries();
	}

	/**
	 * Removes an answer whose entries did not work.
	 * @param account the account
	 */
	void invalidate(ClientAccountId account) {
		this.cache.remove(account);
	}

	Optional<FleetDaemon> connect(AddressAnswer.Entry entry) {
		return this.fleet.daemonAt(entry.address());
	}

	/**
	 * An address answer with its expiry time.
	 */
	private record CachedAnswer(AddressAnswer answer, long expiresAt) {
	}

}
