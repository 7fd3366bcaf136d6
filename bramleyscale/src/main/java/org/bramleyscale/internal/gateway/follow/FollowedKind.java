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
 * Invariants: the copy of an object never becomes older; {@link #complete()} never goes
 * back, and every change up to that revision is known here. Deletions are kept as copies
 * without bytes, since a peer that missed one can't tell a deleted object from one that
 * it learnt later. Confined to the scheduler's thread.
 */
public final class FollowedKind {

	/**
	 * Deletions kept at most, some minutes' worth of a fleet that is replaced as a whole.
	 */
	private static final int MOST_DELETIONS = 20_000;

	/** A time so long ago that differences to it still fit. */
	private static final long NEVER = Long.MIN_VALUE / 2;

	private final Map<String, FollowedObject> copies = new HashMap<>();

	private final Listener listener;

	private long complete;

	private long lastChange;

	private long confirmedAt = NEVER;

	private int deletions;

	public FollowedKind(Listener listener) {
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
	 * The revision of the newest change known, which is equal on daemons that know the
	 * same objects.
	 * @return the revision
	 */
	public long lastChange() {
		return this.lastChange;
	}

	/**
	 * When the store, as far as heard, said that nothing was newer than these copies.
	 * @return the scheduler's time; long before any other if it never did
	 */
	public long confirmedAt() {
		return this.confirmedAt;
	}

	/**
	 * Notes that the store had nothing newer.
	 * @param at the scheduler's time; an earlier one than known changes nothing
	 */
	public void confirm(long at) {
		this.confirmedAt = Math.max(this.confirmedAt, at);
	}

	/**
	 * Takes a list of all objects.
	 * @param list the list
	 */
	public void list(WatchBatch list) {
		if (list.revision() < this.complete) {
			return;
		}
		Set<String> missing = new HashSet<>(this.copies.keySet());
		for (StoredObject object : list.changed()) {
			missing.remove(object.key().name());
			take(new FollowedObject(object.key().name(), object.version(), object.value()));
		}
		missing.stream()
			.filter((name) -> !this.copies.get(name).deleted())
			.forEach((name) -> take(new FollowedObject(name, list.revision(), null)));
		this.complete = list.revision();
	}

	/**
	 * Takes what a watch brought.
	 * @param batch changes in order; without a gap
	 */
	public void changes(WatchBatch batch) {
		for (StoredObject object : batch.changed()) {
			take(new FollowedObject(object.key().name(), object.version(), object.value()));
		}
		for (String name : batch.deleted()) {
			take(new FollowedObject(name, batch.revision(), null));
		}
		this.complete = Math.max(this.complete, batch.revision());
	}

	/**
	 * The copies that changed after a revision.
	 * @param revision the revision
	 * @return the copies, deletions included
	 */
	public List<FollowedObject> after(long revision) {
		List<FollowedObject> result = new ArrayList<>();
		for (FollowedObject copy : this.copies.values()) {
			if (copy.revision() > revision && !(revision == 0 && copy.deleted())) {
				result.add(copy);
			}
		}
		return result;
	}

	/**
	 * Takes a peer's copies.
	 * @param from the revision after which the peer gave all changes
	 * @param to the revision up to which it knows all changes
	 * @param objects the copies
	 * @return false if changes before the first revision are missing here, so that
	 * nothing was taken
	 */
	public boolean fromPeer(long from, long to, List<FollowedObject> objects) {
		if (from > this.complete) {
			return false;
		}
		objects.forEach(this::take);
		this.complete = Math.max(this.complete, to);
		return true;
	}

	private void take(FollowedObject object) {
		FollowedObject before = this.copies.get(object.name());
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
			this.deletions++;
			forgetDeletions();
		}
		this.listener.changed(object);
	}

	private void forgetDeletions() {
		if (this.deletions > MOST_DELETIONS) {
			this.copies.values().removeIf(FollowedObject::deleted);
			this.deletions = 0;
		}
	}

	/**
	 * Told of each change.
	 */
	@FunctionalInterface
	public interface Listener {

		/**
		 * Called on the scheduler's thread.
		 * @param object the new copy, or the deletion
		 */
		void changed(FollowedObject object);

	}

}
