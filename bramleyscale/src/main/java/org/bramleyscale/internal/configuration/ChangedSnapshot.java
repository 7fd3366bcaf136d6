package org.bramleyscale.internal.configuration;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Applies a change to the content that it was made from.
 *
 * <p>
 * Entries of a type that this version of the daemon doesn't know, and bytes of entries
 * that the change leaves equal, are kept: a daemon of an earlier version must not strip
 * what a later one stored. Stateless and safe for use by multiple threads.
 */
final class ChangedSnapshot {

	private ChangedSnapshot() {
	}

	/**
	 * The content after a change.
	 * @param base the content that the change was made from
	 * @param change the change, which passed the checks
	 * @return the content of the next version
	 */
	static Snapshot of(Snapshot base, Change change) {
		Configuration old = base.configuration();
		Stream<ConfigurationEntry> wanted = Stream.concat(
				ConfigurationAssembly.entries(change.register().orElse(old.register())),
				ConfigurationAssembly.entries(change.rules().orElse(old.rules())));
		Map<EntryKey, StoredEntry> present = new HashMap<>();
		base.entries().forEach((entry) -> present.put(entry.key(), entry));
		List<StoredEntry> entries = new ArrayList<>();
		wanted.forEach((entry) -> entries.add(stored(entry, present.get(entry.key()))));
		present.values().stream().filter((entry) -> entry.value().isEmpty()).forEach(entries::add);
		return Snapshot.of(base.version() + 1, entries);
	}

	private static StoredEntry stored(ConfigurationEntry wanted, StoredEntry present) {
		boolean equal = present != null && present.value().filter(wanted::equals).isPresent();
		return equal ? present : StoredEntry.of(wanted);
	}

}
