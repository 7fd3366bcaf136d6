package org.bramleyscale.internal.configuration;

import java.util.Collection;
import java.util.List;

/**
 * The entries whose keys hash to the same place; the unit in which content is stored.
 *
 * <p>
 * Invariant: entries are sorted by key, so equal content has equal bytes and an equal
 * hash. Immutable and safe for use by multiple threads.
 */
final class Bucket {

	static final Bucket EMPTY = new Bucket(List.of());

	private final List<StoredEntry> entries;

	private final ContentHash hash;

	private Bucket(List<StoredEntry> entries) {
		this.entries = entries;
		this.hash = entries.isEmpty() ? ContentHash.NONE : ContentHash.of(encoded());
	}

	static Bucket of(Collection<StoredEntry> entries) {
		return entries.isEmpty() ? EMPTY : new Bucket(entries.stream().sorted().toList());
	}

	List<StoredEntry> entries() {
		return this.entries;
	}

	ContentHash hash() {
		return this.hash;
	}

	byte[] encoded() {
		return ConfigurationCodec.encode(this.entries.stream().map(StoredEntry::encoded).toList());
	}

}
