package org.bramleyscale.internal.gateway.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.WatchBatch;

/**
 * The copies of one kind of platform objects, deletions included.
 *
 * <p>
 * Invariants: the copy of an object is never replaced by an older one;
 * {@link #complete()} never decreases, and every change up to that revision is known
 * here. Deletions are kept as copies without bytes (tombstones), since a peer that missed
 * a deletion can't distinguish a deleted object from one that it has not received yet.
 * Confined to the scheduler's thread.
 */
public final class ObjectCopies {

	/**
	 * The most tombstones kept: some minutes of deletions when a whole fleet is replaced.
	 */
	private static final int MAX_TOMBSTONES = 20_000;

	/**
	 * A time so far in the past that no other precedes it; differences to it do not
	 * overflow.
	 */
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Map<String, ObjectCopy> copies = new HashMap<>();

	private final Listener listener;

	private long complete;

	private long lastChange;

	private long confirmedAt = NEVER;

	private int tombstones;

	public ObjectCopies(Listener listener) {
		this.listener = listener;
	}

	/**
	 * The revision up to which every change is known.
	 * @return the revision, or 0 before the first list
	 */
	public long complete() {
		return this.complete;
	}

	/**
	 * The revision of the newest change known. It is equal on daemons that know the same
	 * objects.
	 * @return the revision
	 */
	public long lastChange() {
		return this.lastChange;
	}

	/**
	 * The latest time for which the store is known to have confirmed that nothing was
	 * newer than these copies.
	 * @return the scheduler's time; long before any other if there was no confirmation
	 */
	public long confirmedAt() {
		return this.confirmedAt;
	}

	/**
	 * Records that the store had nothing newer.
	 * @param at the scheduler's time; has no effect if a later confirmation is known
	 */
	public void confirm(long at) {
		this.confirmedAt = Math.max(this.confirmedAt, at);
	}

	/**
	 * Applies a complete list of the objects.
	 * @param list the list; ignored if it is older than the copies
	 */
	public void applyList(WatchBatch list) {
		if (list.revision() < this.complete) {
			return;
		}
		Set<String> missing = new HashSet<>(this.copies.keySet());
		for (StoredObject object : list.changed()) {
			missing.remove(object.key().name());
			apply(new ObjectCopy(object.key().name(), object.version(), object.value()));
		}
		missing.stream()
			.filter((name) -> !this.copies.get(name).deleted())
			.forEach((name) -> apply(new ObjectCopy(name, list.revision(), null)));
		this.complete = list.revision();
	}

	/**
	 * Applies the result of a watch.
	 * @param batch changes in order; without a gap
	 */
	public void applyChanges(WatchBatch batch) {
		for (StoredObject object : batch.changed()) {
			apply(new ObjectCopy(object.key().name(), object.version(), object.value()));
		}
		for (String name : batch.deleted()) {
			apply(new ObjectCopy(name, batch.revision(), null));
		}
		this.complete = Math.max(this.complete, batch.revision());
	}

	/**
	 * The copies that changed after a revision.
	 * @param revision the revision
	 * @return the copies, deletions included unless the revision is 0
	 */
	public List<ObjectCopy> changedAfter(long revision) {
		List<ObjectCopy> result = new ArrayList<>();
		for (ObjectCopy copy : this.copies.values()) {
			if (copy.revision() > revision && !(revision == 0 && copy.deleted())) {
				result.add(copy);
			}
		}
		return result;
	}

	/**
	 * Applies the copies of a peer.
	 * @param from the peer sent all changes after this revision
	 * @param to the revision up to which the peer knows all changes
	 * @param objects the copies
	 * @return false if changes before the first revision are missing here, so that
	 * nothing was applied
	 */
	public boolean applyFromPeer(long from, long to, List<ObjectCopy> objects) {
		if (from > this.complete) {
			return false;
		}
		objects.forEach(this::apply);
		this.complete = Math.max(this.complete, to);
		return true;
	}

	private void apply(ObjectCopy object) {
		ObjectCopy before = this.copies.get(object.name());
		if (before != null && before.revision() >= object.revision()) {
			return;
		}
		if (before == null && object.deleted()) {
			this.lastChange = Math.max(this.lastChange, object.revision());
			return;
		}
		this.copies.put(object.name(), object);
		this.lastChange = Math.max(this.lastChange, object.revision());
		if (object.deleted()) {
			this.tombstones++;
			purgeTombstones();
		}
		this.listener.changed(object);
	}

	private void purgeTombstones() {
		if (this.tombstones > MAX_TOMBSTONES) {
			this.copies.values().removeIf(ObjectCopy::deleted);
			this.tombstones = 0;
		}
	}

	/**
	 * A listener for changes of copies.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Called on the scheduler's thread.
		 * @param object the new copy, or the deletion
		 */
		void changed(ObjectCopy object);

	}

}
