package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.LoadReport;

/**
 * The owner's state as operators see it.
 *
 * @param shards the shards owned, with their epochs
 * @param endpoints how many endpoints are owned
 * @param accounts the first accounts
 */
record OwnerDump(List<String> shards, int endpoints, List<Account> accounts) {

	private static final int LONGEST = 100;

	static OwnerDump of(Collection<OwnedShard> shards, Collection<OwnedEndpoint> endpoints, long now) {
		List<String> names = new ArrayList<>();
		for (OwnedShard shard : shards) {
			names.add(shard.shard().leaseName() + " epoch " + shard.epoch());
		}
		names.sort(null);
		List<Account> accounts = endpoints.stream()
			.limit(LONGEST)
			.map((endpoint) -> Account.of(endpoint, now))
			.toList();
		return new OwnerDump(names.subList(0, Math.min(LONGEST, names.size())), endpoints.size(), accounts);
	}

	/**
	 * One endpoint's account.
	 *
	 * @param endpoint the endpoint
	 * @param leaving whether it is leaving
	 * @param reportAgeMillis how old the newest report is; negative if there is none
	 * @param reportFailures reports in a row that didn't come
	 * @param capacity the reported capacity
	 * @param committed what entries may have in flight
	 * @param held what is held for reservations
	 * @param unknownUse what the report shows beyond all that is known
	 * @param report the newest report, or null
	 * @param entries what each entry may use
	 */
	record Account(String endpoint, boolean leaving, long reportAgeMillis, int reportFailures, Amount capacity,
			Amount committed, Amount held, Amount unknownUse, LoadReport report, List<Entry> entries) {

		private static Account of(OwnedEndpoint endpoint, long now) {
			EndpointAccount account = endpoint.account();
			List<Entry> entries = account.entries()
				.all()
				.stream()
				.limit(LONGEST)
				.map((entry) -> Entry.of(entry, now))
				.toList();
			return new Account(endpoint.entry().name().value(), endpoint.leaving(), endpoint.poller().age() / 1_000_000,
					endpoint.poller().failures(), account.capacity(), account.committed(now), account.held(),
					account.unknownUse(), account.report(), entries);
		}

	}

	/**
	 * One entry's part.
	 *
	 * @param entry the entry's incarnation
	 * @param granted the last grant
	 * @param inUse what it said it uses
	 * @param wanted what it wants
	 * @param silentMillis how long it hasn't been heard
	 */
	record Entry(String entry, Amount granted, Amount inUse, Amount wanted, long silentMillis) {

		private static Entry of(EntryAccount account, long now) {
			return new Entry(account.entry().toString(), account.lastGrant(), account.inUse(), account.wanted(),
					(now - account.heardAt()) / 1_000_000);
		}

	}

}
