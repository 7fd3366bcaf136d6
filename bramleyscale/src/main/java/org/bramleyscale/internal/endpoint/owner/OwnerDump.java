package org.bramleyscale.internal.endpoint.owner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.bramleyscale.internal.endpoint.Amount;
import org.bramleyscale.internal.endpoint.LoadReport;

/**
 * The owner's state for the operator dump. The names of the components are written to
 * JSON.
 *
 * @param shards the first shards owned, with their epochs
 * @param endpoints how many endpoints are owned
 * @param accounts the accounts of the first endpoints
 */
record OwnerDump(List<String> shards, int endpoints, List<Account> accounts) {

	private static final int MAX_LISTED = 100;

	static OwnerDump of(Collection<OwnedShard> shards, Collection<OwnedEndpoint> endpoints, long now) {
		List<String> names = new ArrayList<>();
		for (OwnedShard shard : shards) {
			names.add(shard.shard().leaseName() + " epoch " + shard.epoch());
		}
		names.sort(null);
		List<Account> accounts = endpoints.stream()
			.limit(MAX_LISTED)
			.map((endpoint) -> Account.of(endpoint, now))
			.toList();
		return new OwnerDump(names.subList(0, Math.min(MAX_LISTED, names.size())), endpoints.size(), accounts);
	}

	/**
	 * One endpoint's account.
	 *
	 * @param endpoint the endpoint
	 * @param leaving whether it is leaving
	 * @param reportAgeMillis how old the newest report is; negative if there is none
	 * @param reportFailures the number of consecutive failed polls
	 * @param capacity the reported capacity
	 * @param committed the sum of what entries may have in flight
	 * @param held what is held for reservations
	 * @param unknownUse use that the reports show but that no entry or hold accounts for
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
				.limit(MAX_LISTED)
				.map((entry) -> Entry.of(entry, now))
				.toList();
			return new Account(endpoint.entry().name().value(), endpoint.leaving(), endpoint.poller().age() / 1_000_000,
					endpoint.poller().failures(), account.capacity(), account.committed(now), account.held(),
					account.unattributedUse(), account.report(), entries);
		}

	}

	/**
	 * One entry's share of an endpoint.
	 *
	 * @param entry the entry's incarnation
	 * @param granted the last grant
	 * @param inUse what it uses according to its last demand
	 * @param wanted what it wants according to its last demand
	 * @param silentMillis how long ago its last demand arrived
	 */
	record Entry(String entry, Amount granted, Amount inUse, Amount wanted, long silentMillis) {

		private static Entry of(EntryAccount account, long now) {
			return new Entry(account.entry().toString(), account.lastGrant(), account.inUse(), account.wanted(),
					(now - account.lastContactAt()) / 1_000_000);
		}

	}

}
