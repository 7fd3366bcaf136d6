package org.bramleyscale.internal.configuration;

import java.nio.charset.StandardCharsets;
import java.util.Comparator;

import com.google.common.hash.Hashing;

/**
 * Which entry of a configuration is meant.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param type the code of the entry's type, possibly one that only later versions know
 * @param name the entry's name
 */
public record EntryKey(int type, String name) implements Comparable<EntryKey> {

	private static final Comparator<EntryKey> ORDER = Comparator.comparingInt(EntryKey::type)
		.thenComparing(EntryKey::name);

	static EntryKey of(EntryType type, String name) {
		return new EntryKey(type.code(), name);
	}

	/**
	 * The bucket that holds the entry.
	 * @param buckets the number of buckets, a power of two
	 * @return the bucket's index
	 */
	int bucket(int buckets) {
		int hash = Hashing.murmur3_32_fixed(this.type).hashString(this.name, StandardCharsets.UTF_8).asInt();
		return hash & (buckets - 1);
	}

	@Override
	public int compareTo(EntryKey other) {
		return ORDER.compare(this, other);
	}

	@Override
	public String toString() {
		String section = EntryType.ofCode(this.type).map(EntryType::section).orElse("type " + this.type);
		return section + "[" + this.name + "]";
	}

}
