package org.bramleyscale.internal.configuration;

import java.util.AbstractList;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.RandomAccess;

/**
 * A list of entries after a few of them were changed.
 *
 * <p>
 * Invariant: the list is sorted by name, as the one before was. Immutable and safe for
 * use by multiple threads.
 *
 * @param <E> the type of the entries
 * @param list the list after the change; the same object as before if nothing changed
 * @param gone the entries that were taken out or replaced
 * @param come the entries that were put in
 */
record ListEdit<E extends ConfigurationEntry>(List<E> list, List<E> gone, List<E> come) {

	private static final Comparator<ConfigurationEntry> BY_NAME = Comparator
		.comparing((ConfigurationEntry entry) -> entry.key().name());

	/**
	 * Changes a list.
	 * @param <E> the type of the entries
	 * @param before the list, sorted by name
	 * @param type the type of the entries
	 * @param entryClass the class of the entries
	 * @param edits entries by key, empty ones for removals; those of other types are left
	 * out
	 * @return the changed list
	 */
	static <E extends ConfigurationEntry> ListEdit<E> of(List<E> before, EntryType type, Class<E> entryClass,
			Map<EntryKey, Optional<StoredEntry>> edits) {
		List<E> after = new ArrayList<>(before);
		List<E> gone = new ArrayList<>();
		List<E> come = new ArrayList<>();
		edits.forEach((key, entry) -> {
			if (key.type() == type.code()) {
				remove(after, key.name()).ifPresent(gone::add);
				entry.flatMap(StoredEntry::value).map(entryClass::cast).ifPresent(come::add);
			}
		});
		come.forEach((entry) -> after.add(-1 - position(after, entry.key().name()), entry));
		boolean same = gone.isEmpty() && come.isEmpty();
		return new ListEdit<>(same ? before : List.copyOf(after), gone, come);
	}

	static <E extends ConfigurationEntry> List<E> sorted(List<E> entries) {
		return entries.stream().sorted(BY_NAME).toList();
	}

	private static <E extends ConfigurationEntry> Optional<E> remove(List<E> list, String name) {
		int position = position(list, name);
		return (position >= 0) ? Optional.of(list.remove(position)) : Optional.empty();
	}

	private static int position(List<? extends ConfigurationEntry> list, String name) {
		List<String> names = new NameList(list);
		return Collections.binarySearch(names, name);
	}

	/**
	 * The names of entries, looked at in place.
	 */
	private static final class NameList extends AbstractList<String> implements RandomAccess {

		private final List<? extends ConfigurationEntry> entries;

		private NameList(List<? extends ConfigurationEntry> entries) {
			this.entries = entries;
		}

		@Override
		public String get(int index) {
			return this.entries.get(index).key().name();
		}

		@Override
		public int size() {
			return this.entries.size();
		}

	}

}
