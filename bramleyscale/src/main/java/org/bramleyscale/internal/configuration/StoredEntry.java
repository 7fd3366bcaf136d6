package org.bramleyscale.internal.configuration;

import java.io.IOException;
import java.util.Arrays;
import java.util.Optional;

/**
 * One entry of a snapshot with the bytes that it was read from.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
final class StoredEntry implements Comparable<StoredEntry> {

	private final EntryKey key;

	private final byte[] bytes;

	private final ConfigurationEntry value;

	private StoredEntry(EntryKey key, byte[] bytes, ConfigurationEntry value) {
		this.key = key;
		this.bytes = bytes;
		this.value = value;
	}

	static StoredEntry of(ConfigurationEntry value) {
		return new StoredEntry(value.key(), ConfigurationCodec.encode(value), value);
	}

	static StoredEntry of(EncodedEntry encoded) throws IOException {
		Optional<ConfigurationEntry> value = ConfigurationCodec.decodeEntry(encoded.type(), encoded.value());
		EntryKey key = value.map(ConfigurationEntry::key).orElse(encoded.key());
		if (!key.equals(encoded.key())) {
			throw new IOException("entry " + encoded.key() + " holds " + key);
		}
		return new StoredEntry(key, encoded.value(), value.orElse(null));
	}

	EntryKey key() {
		return this.key;
	}

	byte[] bytes() {
		return this.bytes;
	}

	/**
	 * The entry itself.
	 * @return the entry, or empty if only later versions of the daemon know its type
	 */
	Optional<ConfigurationEntry> value() {
		return Optional.ofNullable(this.value);
	}

	EncodedEntry encoded() {
		return new EncodedEntry(this.key.type(), this.key.name(), this.bytes);
	}

	boolean sameBytes(StoredEntry other) {
		return Arrays.equals(this.bytes, other.bytes);
	}

	@Override
	public int compareTo(StoredEntry other) {
		return this.key.compareTo(other.key);
	}

}
