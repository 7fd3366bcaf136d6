package org.bramleyscale.internal.configuration;

import java.util.List;
import java.util.stream.Stream;

import org.bramleyscale.VmId;

/**
 * How much a configuration takes in the platform and on the wire, for capacity planning.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param entries the number of entries
 * @param parts the number of parts in the platform
 * @param contentBytes the size of all parts together
 * @param largestPartBytes the size of the largest part
 * @param headBytes the size of the head, after as many changes as it remembers
 * @param changeBytes the size of a change of one entry, as it is pushed to peers, without
 * the message around it
 */
public record ConfigurationFootprint(int entries, int parts, long contentBytes, long largestPartBytes, long headBytes,
		long changeBytes) {

	/**
	 * Computes the footprint.
	 * @param register the register
	 * @param rules the rules, with at least one account
	 * @return the footprint
	 */
	public static ConfigurationFootprint of(Register register, Rules rules) {
		if (rules.accounts().isEmpty()) {
			throw new IllegalArgumentException("rules need an account to compute the footprint of its change");
		}
		List<StoredEntry> entries = Stream
			.concat(ConfigurationAssembly.entries(register), ConfigurationAssembly.entries(rules))
			.map(StoredEntry::of)
			.toList();
		Snapshot snapshot = Snapshot.of(1, entries);
		List<Integer> sizes = snapshot.buckets()
			.stream()
			.filter((bucket) -> !bucket.entries().isEmpty())
			.map((bucket) -> bucket.encoded().length)
			.toList();
		EncodedEntry account = StoredEntry.of(rules.accounts().get(0)).encoded();
		return new ConfigurationFootprint(entries.size(), sizes.size(),
				sizes.stream().mapToLong(Integer::longValue).sum(),
				sizes.stream().mapToLong(Integer::longValue).max().orElse(0), headBytes(snapshot),
				ConfigurationCodec.encode(List.of(account)).length);
	}

	private static long headBytes(Snapshot snapshot) {
		VmId proposer = new VmId("entry-1");
		Head head = Head.NONE;
		for (int change = 0; change < Head.REMEMBERED; change++) {
			AcceptedChange accepted = new AcceptedChange(change, "change-" + (1_000_000 + change), "operator", change);
			head = head.next(snapshot, accepted, List.of(), proposer);
		}
		return ConfigurationCodec.encode(head).length;
	}

}
