package org.bramleyscale.internal.configuration;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Stream;

/**
 * One version of the configuration as content that can be stored, compared and sent.
 *
 * <p>
 * Invariants: the number of buckets follows from the number of entries, and the hash from
 * the entries alone, so two daemons with the same content have the same hash. Immutable
 * and safe for use by multiple threads.
 */
final class Snapshot {

	/** The content of version 0. */
	static final Snapshot EMPTY = new Snapshot(Configuration.NONE, List.of(Bucket.EMPTY));

	private static final int ENTRIES_PER_BUCKET = 100;

	private static final int MOST_BUCKETS = 256;

	private static final int FEW_EDITS = 64;

	private final Configuration configuration;

	private final List<Bucket> buckets;

	private final ContentHash hash;

	private Snapshot(Configuration configuration, List<Bucket> buckets) {
		this.configuration = configuration;
		this.buckets = buckets;
		this.hash = ContentHash.of(buckets.stream().map(Bucket::hash).toList());
	}

	/**
	 * Makes a snapshot of entries.
	 * @param version the version
	 * @param entries the entries, with different keys
	 * @return the snapshot
	 */
	static Snapshot of(long version, Collection<StoredEntry> entries) {
		int count = bucketCount(entries.size());
		List<List<StoredEntry>> groups = new ArrayList<>();
		for (int index = 0; index < count; index++) {
			groups.add(new ArrayList<>());
		}
		entries.forEach((entry) -> groups.get(entry.key().bucket(count)).add(entry));
		List<Bucket> buckets = groups.stream().map(Bucket::of).toList();
		return new Snapshot(ConfigurationAssembly.of(version, entries), buckets);
	}

	static Snapshot decode(long version, List<EncodedEntry> encoded) throws IOException {
		Map<EntryKey, StoredEntry> entries = new HashMap<>();
		for (EncodedEntry entry : encoded) {
			entries.put(entry.key(), StoredEntry.of(entry));
		}
		return of(version, entries.values());
	}

	long version() {
		return this.configuration.version();
	}

	Configuration configuration() {
		return this.configuration;
	}

	ContentHash hash() {
		return this.hash;
	}

	List<Bucket> buckets() {
		return this.buckets;
	}

	int size() {
		return this.buckets.stream().mapToInt((bucket) -> bucket.entries().size()).sum();
	}

	Stream<StoredEntry> entries() {
		return this.buckets.stream().flatMap((bucket) -> bucket.entries().stream());
	}

	Optional<StoredEntry> entry(EntryKey key) {
		List<StoredEntry> entries = this.buckets.get(key.bucket(this.buckets.size())).entries();
		return entries.stream().filter((entry) -> entry.key().equals(key)).findFirst();
	}

	/**
	 * The content of another version.
	 * @param version the other version
	 * @param changed entries that differ, removals among them
	 * @return the other version
	 * @throws IOException if an entry can't be read
	 */
	Snapshot with(long version, List<EncodedEntry> changed) throws IOException {
		Map<EntryKey, Optional<StoredEntry>> edits = new HashMap<>();
		for (EncodedEntry entry : changed) {
			edits.put(entry.key(), entry.removal() ? Optional.empty() : Optional.of(StoredEntry.of(entry)));
		}
		int size = size() + growth(edits);
		if (edits.size() > FEW_EDITS || bucketCount(size) != this.buckets.size()) {
			return of(version, edited(entries(), edits));
		}
		Map<Integer, Map<EntryKey, Optional<StoredEntry>>> byBucket = new HashMap<>();
		edits.forEach(
				(key, entry) -> byBucket.computeIfAbsent(key.bucket(this.buckets.size()), (index) -> new HashMap<>())
					.put(key, entry));
		List<Bucket> next = new ArrayList<>(this.buckets);
		byBucket
			.forEach((index, group) -> next.set(index, Bucket.of(edited(next.get(index).entries().stream(), group))));
		return new Snapshot(ConfigurationAssembly.edited(this.configuration, version, edits),
				Collections.unmodifiableList(next));
	}

	/**
	 * What changed from an earlier version to this one.
	 * @param earlier the earlier version
	 * @return the entries that differ, sorted by key
	 */
	List<EncodedChange> changesSince(Snapshot earlier) {
		Map<EntryKey, StoredEntry> before = new TreeMap<>();
		Map<EntryKey, StoredEntry> after = new TreeMap<>();
		boolean sameLayout = earlier.buckets.size() == this.buckets.size();
		for (int index = 0; index < this.buckets.size(); index++) {
			if (!sameLayout || !this.buckets.get(index).hash().equals(earlier.buckets.get(index).hash())) {
				this.buckets.get(index).entries().forEach((entry) -> after.put(entry.key(), entry));
			}
		}
		for (int index = 0; index < earlier.buckets.size(); index++) {
			if (!sameLayout || !this.buckets.get(index).hash().equals(earlier.buckets.get(index).hash())) {
				earlier.buckets.get(index).entries().forEach((entry) -> before.put(entry.key(), entry));
			}
		}
		return Stream.concat(before.keySet().stream(), after.keySet().stream())
			.distinct()
			.sorted()
			.map((key) -> change(key, before.get(key), after.get(key)))
			.filter((change) -> !change.nothing())
			.toList();
	}

	private static EncodedChange change(EntryKey key, StoredEntry before, StoredEntry after) {
		return new EncodedChange(key.type(), key.name(), (before != null) ? before.bytes() : null,
				(after != null) ? after.bytes() : null);
	}

	private int growth(Map<EntryKey, Optional<StoredEntry>> edits) {
		int growth = 0;
		for (Map.Entry<EntryKey, Optional<StoredEntry>> edit : edits.entrySet()) {
			growth += (edit.getValue().isPresent() ? 1 : 0) - (entry(edit.getKey()).isPresent() ? 1 : 0);
		}
		return growth;
	}

	private static List<StoredEntry> edited(Stream<StoredEntry> entries, Map<EntryKey, Optional<StoredEntry>> edits) {
		Stream<StoredEntry> kept = entries.filter((entry) -> !edits.containsKey(entry.key()));
		return Stream.concat(kept, edits.values().stream().flatMap(Optional::stream)).toList();
	}

	private static int bucketCount(int entries) {
		int wanted = (entries + ENTRIES_PER_BUCKET - 1) / ENTRIES_PER_BUCKET;
		int count = 1;
		while (count < wanted && count < MOST_BUCKETS) {
			count *= 2;
		}
		return count;
	}

}
