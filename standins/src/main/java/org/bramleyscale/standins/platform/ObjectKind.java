package org.bramleyscale.standins.platform;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.WatchBatch;

/**
 * The objects of one kind and their recent change history.
 *
 * <p>
 * Invariant: the revision grows by one with each change. A watch that starts before the
 * oldest change in the history, or spans a deletion, returns a gap. Confined to one
 * thread.
 */
final class ObjectKind {

	private final SortedMap<String, StoredObject> objects = new TreeMap<>();

	private final Deque<Change> history = new ArrayDeque<>();

	private final int historyLength;

	private long revision;

	ObjectKind(int historyLength) {
		this.historyLength = historyLength;
	}

	Optional<StoredObject> read(String name) {
		return Optional.ofNullable(this.objects.get(name));
	}

	WatchBatch list() {
		return new WatchBatch(this.revision, false, List.copyOf(this.objects.values()));
	}

	StoredObject write(ObjectKey key, byte[] value, long expected) throws PlatformException {
		requireVersion(key, expected);
		StoredObject stored = new StoredObject(key, expected + 1, value.clone());
		this.objects.put(key.name(), stored);
		record(stored);
		return stored;
	}

	void delete(ObjectKey key, long expected) throws PlatformException {
		requireVersion(key, expected);
		if (this.objects.remove(key.name()) != null) {
			record(null);
		}
	}

	WatchBatch changesAfter(long after) {
		long oldest = this.revision - this.history.size();
		if (after < oldest || after > this.revision) {
			return gap();
		}
		List<StoredObject> changed = new ArrayList<>();
		for (Change change : this.history) {
			if (change.revision > after) {
				if (change.object == null) {
					return gap();
				}
				changed.add(change.object);
			}
		}
		return new WatchBatch(this.revision, false, changed);
	}

	WatchBatch gap() {
		return new WatchBatch(this.revision, true, List.of());
	}

	private void requireVersion(ObjectKey key, long expected) throws PlatformException {
		long version = read(key.name()).map(StoredObject::version).orElse(0L);
		if (version != expected) {
			throw new PlatformException(PlatformException.Kind.CONFLICT,
					key + " has version " + version + ", expected " + expected);
		}
	}

	private void record(StoredObject object) {
		this.revision++;
		this.history.addLast(new Change(this.revision, object));
		if (this.history.size() > this.historyLength) {
			this.history.removeFirst();
		}
	}

	/**
	 * One change; the object is null if it was a deletion.
	 */
	private record Change(long revision, StoredObject object) {
	}

}
