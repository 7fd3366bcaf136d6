package org.bramleyscale.internal.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Finds entries by a key, and takes over most of itself from one version to the next.
 *
 * <p>
 * At tens of thousands of entries, building the maps anew would be most of the work that
 * a change of one entry makes on every daemon. A few edits are kept beside a map that
 * versions share, until they are many. Immutable and safe for use by multiple threads.
 *
 * @param <K> the type of the keys
 * @param <V> the type of the entries
 */
final class Lookup<K, V> {

	private static final int MOST_EDITS = 128;

	private final Function<V, K> key;

	private final Map<K, V> base;

	private final Map<K, Optional<V>> edits;

	private Lookup(Function<V, K> key, Map<K, V> base, Map<K, Optional<V>> edits) {
		this.key = key;
		this.base = base;
		this.edits = edits;
	}

	/**
	 * Makes a look-up.
	 * @param <K> the type of the keys
	 * @param <V> the type of the entries
	 * @param entries the entries, with different keys
	 * @param key the key of an entry
	 * @return the look-up
	 */
	static <K, V> Lookup<K, V> of(List<V> entries, Function<V, K> key) {
		Map<K, V> base = entries.stream().collect(Collectors.toUnmodifiableMap(key, Function.identity()));
		return new Lookup<>(key, base, Map.of());
	}

	Optional<V> get(K wanted) {
		Optional<V> edited = this.edits.get(wanted);
		return (edited != null) ? edited : Optional.ofNullable(this.base.get(wanted));
	}

	/**
	 * The look-up after a change.
	 * @param all all entries after the change
	 * @param gone entries that were taken out or replaced
	 * @param come entries that were put in
	 * @return the look-up
	 */
	Lookup<K, V> next(List<V> all, List<V> gone, List<V> come) {
		if (gone.isEmpty() && come.isEmpty()) {
			return this;
		}
		Map<K, Optional<V>> next = new HashMap<>(this.edits);
		gone.forEach((entry) -> next.put(this.key.apply(entry), Optional.empty()));
		come.forEach((entry) -> next.put(this.key.apply(entry), Optional.of(entry)));
		return (next.size() > MOST_EDITS) ? of(all, this.key) : new Lookup<>(this.key, this.base, next);
	}

}
