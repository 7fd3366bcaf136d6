package org.bramleyscale.internal.gateway.follow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongConsumer;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.WatchBatch;
import org.jboss.logging.Logger;

/**
 * The copies of one kind of platform objects, deletions included.
 *
 * <p>
 * Invariants: {@link #complete()} never decreases, and every change up to that revision
 * is in force here, so an object that was deleted by then isn't held, and nothing up to
 * that revision is taken from anybody again. Deletions are kept as copies without bytes
 * (tombstones), also those of objects that were never known here, since a peer that
 * missed a deletion can't distinguish a deleted object from one that it has not received
 * yet. A list doesn't tell what was created and deleted before it, so changes are sent to
 * peers only from the last list on; peers that know less get all objects, in place of
 * theirs. Revisions are {@linkplain StoreRevision qualified} by the era of the store:
 * copies of an earlier era remain until a whole state of the later one replaces them, and
 * changes join only copies of their own era.
 *
 * <p>
 * Exact copies are for kinds of which a missing object matters at once: they contain no
 * cached list. Confined to the scheduler's thread.
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

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final Logger logger = Logger.getLogger(ObjectCopies.class);

	private final Map<String, ObjectCopy> copies = new HashMap<>();

	private final Listener listener;

	private final boolean exact;

	private boolean listed;

	private long historyStart;

	private long complete;

	private long lastChange;

	private LongConsumer laterEraCallback = (revision) -> {
	};

	private long confirmedAt = NEVER;

	private int tombstones;

	public ObjectCopies(Listener listener) {
		this(listener, false);
	}

	private ObjectCopies(Listener listener, boolean exact) {
		this.listener = listener;
		this.exact = exact;
	}

	/**
	 * Returns empty copies that are exact once they are listed.
	 * @param listener the listener for changes
	 * @return the copies
	 */
	public static ObjectCopies exact(Listener listener) {
		return new ObjectCopies(listener, true);
	}

	/**
	 * Sets what is called when copies of a later era replace those of an earlier one.
	 * @param callback called with the revision of the first state of that era
	 */
	public void onLaterEra(LongConsumer callback) {
		this.laterEraCallback = callback;
	}

	boolean exact() {
		return this.exact;
	}

	/**
	 * Whether the objects have been listed, by the store or by a peer.
	 * @return false for copies that aren't exact also after an empty list
	 */
	public boolean listed() {
		return this.exact ? this.listed : this.complete > 0;
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
	 * How long ago the store confirmed these copies, rounded up so that they never look
	 * newer.
	 * @param now the scheduler's time
	 * @return the age, ms
	 */
	public long ageMillis(long now) {
		return Math.floorDiv(now - this.confirmedAt + NANOS_PER_MILLI - 1, NANOS_PER_MILLI);
	}

	/**
	 * Whether the store is known to have confirmed these copies at any time.
	 * @return false before the first confirmation
	 */
	boolean everConfirmed() {
		return this.confirmedAt != NEVER;
	}

	/**
	 * Records that the store had nothing newer.
	 * @param at the scheduler's time; has no effect if a later confirmation is known
	 */
	public void confirm(long at) {
		this.confirmedAt = Math.max(this.confirmedAt, at);
	}

	/**
	 * Applies a list of the objects. Copies that it lacks have been deleted, unless it
	 * has a gap.
	 * @param list the list; ignored if it is older than the copies
	 */
	public void applyList(WatchBatch list) {
		if (list.revision() < this.complete) {
			return;
		}
		List<ObjectCopy> objects = new ArrayList<>(list.changed().stream().map(ObjectCopies::copy).toList());
		if (list.gap() && !StoreRevision.isOfEarlierEra(this.complete, list.revision())) {
			this.copies.values().forEach(objects::add);
		}
		applyAll(list.revision(), objects);
	}

	private void applyAll(long revision, List<ObjectCopy> objects) {
		boolean laterEra = StoreRevision.isOfEarlierEra(this.complete, revision);
		if (laterEra) {
			// What the store confirmed before doesn't hold for what it came back with.
			this.confirmedAt = NEVER;
		}
		Set<String> missing = new HashSet<>(this.copies.keySet());
		for (ObjectCopy object : objects) {
			missing.remove(object.name());
			apply(object);
		}
		List<String> deleted = missing.stream().filter((name) -> !this.copies.get(name).deleted()).toList();
		deleted.forEach((name) -> apply(new ObjectCopy(name, revision, null)));
		this.complete = revision;
		this.listed = true;
		this.historyStart = revision;
		if (laterEra) {
			this.laterEraCallback.accept(revision);
		}
	}

	private static ObjectCopy copy(StoredObject object) {
		return new ObjectCopy(object.key().name(), object.version(), object.value());
	}

	/**
	 * Applies the result of a watch.
	 * @param batch changes in order; without a gap
	 */
	public void applyChanges(WatchBatch batch) {
		boolean ofOtherEra = StoreRevision.era(batch.revision()) != StoreRevision.era(this.complete);
		if (ofOtherEra || batch.revision() <= this.complete) {
			return;
		}
		List<ObjectCopy> changes = new ArrayList<>();
		batch.changed().forEach((object) -> changes.add(copy(object)));
		batch.deleted().forEach((name) -> changes.add(new ObjectCopy(name, batch.revision(), null)));
		applyNewer(changes, batch.revision());
	}

	/**
	 * Applies changes that follow these copies without a gap.
	 * @param changes the changes; those up to {@link #complete()} are known
	 * @param revision the revision up to which they reach
	 */
	private void applyNewer(List<ObjectCopy> changes, long revision) {
		long known = this.complete;
		changes.stream().filter((change) -> change.revision() > known).forEach(this::apply);
		this.complete = revision;
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
	 * Whether a peer's copies contain something that these lack.
	 * @param theirs the peer's digest
	 * @return true if they are to be requested
	 */
	boolean lacks(CopiesDigest.Held theirs) {
		boolean changed = isOfOtherEra(theirs) || this.lastChange < theirs.lastChange() || !listed();
		return this.complete < theirs.complete() && changed;
	}

	/**
	 * Whether every change that a peer knows is known here, so that the store's
	 * confirmation of the peer's copies holds for these as well. That the newest change
	 * is the same isn't enough: the peer may have listed after a deletion of which no
	 * list tells.
	 * @param theirs the peer's digest
	 * @return true if these copies are no older
	 */
	boolean covers(CopiesDigest.Held theirs) {
		return !isOfOtherEra(theirs) && listed() && this.complete >= theirs.complete();
	}

	private boolean isOfOtherEra(CopiesDigest.Held theirs) {
		return StoreRevision.era(theirs.complete()) != StoreRevision.era(this.complete);
	}

	/**
	 * Whether a peer's copies lack something that these contain.
	 * @param theirs the peer's digest
	 * @return true if they are to be sent to the peer
	 */
	boolean areNewerThan(CopiesDigest.Held theirs) {
		if (!listed() || this.complete <= theirs.complete()) {
			return false;
		}
		return isOfOtherEra(theirs) || this.lastChange > theirs.lastChange();
	}

	/**
	 * The revision after which changes can be sent without a gap.
	 * @param from the revision up to which the recipient knows all changes
	 * @return the same, or 0 if deletions after it may be unknown here, so that all
	 * objects have to be sent
	 */
	long gaplessFrom(long from) {
		return (from < this.historyStart) ? 0 : from;
	}

	/**
	 * Applies the copies of a peer. Changes from revision 0 on are all of the objects,
	 * and those that are missing have been deleted. Copies that are no newer than these
	 * are ignored: an object that a peer still has from before it was deleted must not
	 * return. So are those whose names have no key, which peers of other versions may
	 * send.
	 * @param from the peer sent all changes after this revision
	 * @param to the revision up to which the peer knows all changes
	 * @param objects the copies
	 * @return false if changes before the first revision are missing here, so that
	 * nothing was applied
	 */
	public boolean applyFromPeer(long from, long to, List<ObjectCopy> objects) {
		if (listed() && to <= this.complete) {
			return true;
		}
		List<ObjectCopy> usable = objects.stream().filter((object) -> ObjectKey.isValidName(object.name())).toList();
		if (from == 0) {
			applyAll(to, usable);
			return true;
		}
		if (!listed() || from > this.complete || StoreRevision.isOfEarlierEra(this.complete, to)) {
			return false;
		}
		applyNewer(usable, to);
		return true;
	}

	private void apply(ObjectCopy object) {
		ObjectCopy before = this.copies.get(object.name());
		if (before != null && before.revision() >= object.revision()) {
			return;
		}
		this.lastChange = Math.max(this.lastChange, object.revision());
		boolean unknownDeleted = before == null && object.deleted();
		this.copies.put(object.name(), object);
		if (object.deleted()) {
			this.tombstones++;
			purgeTombstones();
		}
		if (!unknownDeleted) {
			notifyListener(object);
		}
	}

	/**
	 * Calls the listener. If it fails, the copies behind this one still have to be
	 * applied.
	 * @param object the new copy, or the deletion
	 */
	private void notifyListener(ObjectCopy object) {
		try {
			this.listener.changed(object);
		}
		catch (RuntimeException | StackOverflowError ex) {
			logger.errorf("The copy of object %s of revision %s can't be applied: %s", object.name(),
					StoreRevision.text(object.revision()), ex);
		}
	}

	private void purgeTombstones() {
		if (this.tombstones > MAX_TOMBSTONES) {
			this.copies.values().removeIf(ObjectCopy::deleted);
			this.tombstones = 0;
			this.historyStart = Math.max(this.complete, this.lastChange);
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
