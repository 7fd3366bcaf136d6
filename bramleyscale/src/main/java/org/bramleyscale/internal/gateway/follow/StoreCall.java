package org.bramleyscale.internal.gateway.follow;

import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.platform.WatchBatch;

/**
 * A call to the store. Compared by identity: the answer of an abandoned call is ignored.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
final class StoreCall {

	/** Stands for the revision of a call that isn't a watch. */
	static final long NO_WATCH = -1;

	private final long after;

	private final long known;

	private final long startedAt;

	private final long heldUntil;

	private final long dueAt;

	/**
	 * Creates a call.
	 * @param after the revision from which it watches, or {@link #NO_WATCH}
	 * @param known the revision that its answer reaches at least, 0 if it may be older
	 * @param startedAt when it was made, by the scheduler's clock
	 * @param heldUntil until when the store may hold it
	 * @param dueAt when a store that answers has answered
	 */
	StoreCall(long after, long known, long startedAt, long heldUntil, long dueAt) {
		this.after = after;
		this.known = known;
		this.startedAt = startedAt;
		this.heldUntil = heldUntil;
		this.dueAt = dueAt;
	}

	long after() {
		return this.after;
	}

	long known() {
		return this.known;
	}

	long startedAt() {
		return this.startedAt;
	}

	long heldUntil() {
		return this.heldUntil;
	}

	long dueAt() {
		return this.dueAt;
	}

	/**
	 * Whether an answer holds less than what was known when the call was made, so that it
	 * may be a copy of the answer to an earlier call.
	 * @param batch the answer
	 * @return true if it is to be ignored
	 */
	boolean knewMoreThan(WatchBatch batch) {
		boolean sameEra = StoreRevision.era(batch.revision()) == StoreRevision.era(this.known);
		boolean hasToList = batch.gap() && this.after != NO_WATCH;
		return sameEra && !hasToList && batch.revision() < this.known;
	}

}
