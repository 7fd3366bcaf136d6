package org.bramleyscale.internal.configuration;

import java.io.IOException;
import java.util.List;
import java.util.Optional;

/**
 * Turns encoded changes into ones that people read.
 *
 * <p>
 * Stateless and safe for use by multiple threads.
 */
final class EntryChanges {

	private EntryChanges() {
	}

	static List<EntryChange> between(Snapshot earlier, Snapshot later) {
		return later.changesSince(earlier).stream().map(EntryChanges::decode).toList();
	}

	private static EntryChange decode(EncodedChange change) {
		return new EntryChange(change.key(), value(change.type(), change.before()),
				value(change.type(), change.after()));
	}

	private static Optional<ConfigurationEntry> value(int type, byte[] bytes) {
		if (bytes == null) {
			return Optional.empty();
		}
		try {
			return ConfigurationCodec.decodeEntry(type, bytes);
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
