package org.bramleyscale.standins.fleet;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.internal.address.AddressAnswer;

/**
 * The addresses that callers hold, renewed from any daemon when their time is over.
 *
 * <p>
 * Confined to the test's thread.
 */
final class AddressKeeper {

	private final Fleet fleet;

	private final Map<ClientAccountId, Kept> kept = new HashMap<>();

	AddressKeeper(Fleet fleet) {
		this.fleet = fleet;
	}

	/**
	 * The entries that an account may call.
	 * @param account the account
	 * @return the entries, possibly none
	 */
	List<AddressAnswer.Entry> entries(ClientAccountId account) {
		Kept known = this.kept.get(account);
		long now = this.fleet.scheduler().nanos();
		if (known != null && now < known.until) {
			return known.answer.entries();
		}
		List<FleetDaemon> working = this.fleet.daemons().stream().filter(FleetDaemon::working).toList();
		FleetDaemon asked = working.get(this.fleet.random().nextInt(working.size()));
		AddressAnswer answer = asked.slices().addresses().addresses(account);
		this.kept.put(account, new Kept(answer, now + answer.keepFor().toNanos()));
		return answer.entries();
	}

	/**
	 * Forgets an answer whose entries did not serve.
	 * @param account the account
	 */
	void doubt(ClientAccountId account) {
		this.kept.remove(account);
	}

	Optional<FleetDaemon> connect(AddressAnswer.Entry entry) {
		return this.fleet.at(entry.address());
	}

	/**
	 * An answer and how long it is good for.
	 */
	private record Kept(AddressAnswer answer, long until) {
	}

}
