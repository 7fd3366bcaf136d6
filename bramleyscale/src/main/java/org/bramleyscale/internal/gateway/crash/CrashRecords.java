package org.bramleyscale.internal.gateway.crash;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

import org.bramleyscale.internal.gateway.follow.ObjectCopy;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Writes crash records to the platform's store and applies the copies received from it.
 *
 * <p>
 * Invariant: a trial is granted only by a conditional write that the store has confirmed,
 * so that two daemons never try a cause at the same time, and none does while the store
 * is unavailable. Confined to the scheduler's thread.
 */
final class CrashRecords {

	/**
	 * Pause after a conflict with another daemon's write; the copy of that write arrives
	 * within this time.
	 */
	static final Duration PAUSE_AFTER_CONFLICT = Duration.ofMillis(300);

	/**
	 * Pause after a trial that was not made: its endpoints can't be reached, or its
	 * caller has gone, and the next one would cost two writes as well.
	 */
	static final Duration PAUSE_AFTER_RETURN = Duration.ofMillis(300);

	/** Pause after a failed call: the store may be unavailable. */
	static final Duration PAUSE_AFTER_FAILURE = Duration.ofSeconds(1);

	/**
	 * Maximum number of attempts to delete a record. If the store is unavailable for
	 * longer, the record is removed later.
	 */
	private static final int MAX_DELETE_ATTEMPTS = 5;

	/** Maximum number of records in the store; the oldest are deleted beyond it. */
	static final int MAX_RECORDS = 5_000;

	private final Scheduler scheduler;

	private final ObjectStore store;

	private final StoredRecords records;

	private final CrashEvidence evidence;

	private final CrashJudge judge;

	private final BooleanSupplier maintainsRecords;

	private final DecisionLog log;

	private final Map<CrashCause, Long> retryNotBefore = new HashMap<>();

	private final Set<CrashCause> writing = new HashSet<>();

	private final Set<CrashCause> clearedHere = new HashSet<>();

	/**
	 * The records that an older copy of the store lacks and that aren't written again.
	 */
	private final Set<CrashCause> lost = new HashSet<>();

	/**
	 * Creates the writer of crash records.
	 * @param scheduler the daemon's scheduler
	 * @param store the store
	 * @param records receives the records that are read and written
	 * @param evidence the known crashes
	 * @param judge decides which causes need a record
	 * @param maintainsRecords whether this daemon writes missing records and deletes the
	 * oldest ones above the maximum
	 * @param log the decision log
	 */
	CrashRecords(Scheduler scheduler, ObjectStore store, StoredRecords records, CrashEvidence evidence,
			CrashJudge judge, BooleanSupplier maintainsRecords, DecisionLog log) {
		this.scheduler = scheduler;
		this.store = store;
		this.records = records;
		this.evidence = evidence;
		this.judge = judge;
		this.maintainsRecords = maintainsRecords;
		this.log = log;
	}

	/**
	 * Applies a changed or deleted record.
	 * @param object the record's copy
	 */
	void changed(ObjectCopy object) {
		CrashCause cause = new CrashCause(object.name());
		if (object.deleted()) {
			removed(cause, object.revision());
			return;
		}
		try {
			CrashRecord record = CrashRecord.read(object.value());
			if (this.clearedHere.contains(cause) && this.evidence.recentlyCleared(cause)
					&& !this.judge.suspected(cause)) {
				// Another daemon wrote it before it learnt of the answer here.
				delete(cause, object.revision(), 1);
			}
			this.lost.remove(cause);
			this.records.put(cause, record, object.revision());
			this.log.belief(cause.kind(), cause, "crashes", record.crashes(), "trials", record.trials(), "trying",
					record.trying(), "by", record.by(), "lost", record.lost(), "revision",
					StoreRevision.text(object.revision()));
		}
		catch (IOException ex) {
			this.log.belief(cause.kind(), cause, "readable", false, "reason", ex.getMessage());
		}
		removeOldest();
	}

	/**
	 * Removes a record, unless it is missing only because the store has come back from a
	 * copy that was made before it; then it is written again.
	 * @param cause the cause
	 * @param revision the revision of the removal
	 */
	private void removed(CrashCause cause, long revision) {
		Optional<StoredRecords.StoredRecord> known = this.records.get(cause);
		boolean lost = known.isPresent() && StoreRevision.isOfEarlierEra(known.get().version(), revision);
		if (lost) {
			this.lost.add(cause);
		}
		else {
			this.records.remove(cause);
			this.evidence.forget(cause);
			this.log.belief(cause.kind(), cause, "record", "removed", "revision", StoreRevision.text(revision));
		}
	}

	/**
	 * Whether a cause's record can't be written at the moment.
	 * @param cause the cause
	 * @return true while a write is in progress, or during the pause after a failed one
	 */
	boolean writeBlocked(CrashCause cause) {
		Long until = this.retryNotBefore.get(cause);
		if (until != null && this.scheduler.nanos() - until >= 0) {
			this.retryNotBefore.remove(cause);
			until = null;
		}
		return until != null || this.writing.contains(cause);
	}

	/**
	 * Claims a trial of a cause.
	 * @param cause the cause
	 * @param others the other suspected causes of the request
	 * @param granted called once with whether the request may be sent
	 */
	void claimTrial(CrashCause cause, Set<String> others, Consumer<Boolean> granted) {
		if (writeBlocked(cause)) {
			granted.accept(false);
			return;
		}
		CrashRecord before = this.records.get(cause)
			.map(this.records::withoutLostTrial)
			.orElseGet(() -> CrashRecord.untried(0));
		write(cause, before.withTrial(this.judge.crashes(cause), others, this.records.self()), granted);
	}

	/**
	 * Returns a trial that was claimed and is not made.
	 * @param cause the cause
	 * @param before its record before the claim
	 */
	void returnTrial(CrashCause cause, CrashRecord before) {
		if (!writeBlocked(cause) && this.records.contains(cause)) {
			write(cause, known(cause).withoutTrial(before),
					(written) -> this.retryNotBefore.put(cause, this.scheduler.nanos() + PAUSE_AFTER_RETURN.toNanos()));
		}
	}

	/**
	 * Writes that the trial of a cause has ended with the endpoint that ran it, again and
	 * again until the store has confirmed it or the record is gone.
	 * @param cause the cause
	 */
	void endTrial(CrashCause cause) {
		endOwnTrial(cause, (record) -> record.afterTrial(this.judge.crashes(cause)));
	}

	/**
	 * Writes that the trial of a cause has ended without an outcome, as {@link #endTrial}
	 * does.
	 * @param cause the cause
	 */
	void loseTrial(CrashCause cause) {
		endOwnTrial(cause, CrashRecord::afterLostTrial);
	}

	private void endOwnTrial(CrashCause cause, UnaryOperator<CrashRecord> ended) {
		CrashRecord known = known(cause);
		if (!known.trying() || known.holder().filter(this.records.self()::equals).isEmpty()) {
			return;
		}
		if (writeBlocked(cause)) {
			this.scheduler.schedule(PAUSE_AFTER_CONFLICT, () -> endOwnTrial(cause, ended));
			return;
		}
		write(cause, ended.apply(known), (written) -> {
			if (!written) {
				this.scheduler.schedule(PAUSE_AFTER_CONFLICT, () -> endOwnTrial(cause, ended));
			}
		});
	}

	/**
	 * Writes the number of crashes of a cause.
	 * @param cause the cause
	 */
	void recordCrashes(CrashCause cause) {
		if (writeBlocked(cause)) {
			return;
		}
		write(cause, known(cause).withCrashes(this.judge.crashes(cause)), (written) -> {
		});
	}

	/**
	 * Returns the record of a cause as it is known here.
	 * @param cause the cause
	 * @return the record; one without crashes if there is none
	 */
	CrashRecord known(CrashCause cause) {
		return this.records.get(cause).map(StoredRecords.StoredRecord::record).orElseGet(() -> CrashRecord.untried(0));
	}

	/**
	 * Deletes the record of a cause that an answer has cleared here, and those that other
	 * daemons write before they learn of it.
	 * @param cause the cause
	 * @param version the record's version, or 0 if none is known
	 */
	void clear(CrashCause cause, long version) {
		this.clearedHere.removeIf((known) -> !this.evidence.recentlyCleared(known));
		this.clearedHere.add(cause);
		if (version > 0) {
			delete(cause, version, 1);
		}
	}

	private void delete(CrashCause cause, long version, int attempt) {
		this.store.delete(key(cause), version).exceptionally((failure) -> {
			boolean conflict = failure instanceof PlatformException refused
					&& refused.kind() == PlatformException.Kind.CONFLICT;
			boolean retry = !conflict && attempt < MAX_DELETE_ATTEMPTS;
			this.log.belief(cause.kind(), cause, "record", "not deleted", "version", version, "cause",
					failure.getMessage(), "again", retry);
			if (retry) {
				this.scheduler.schedule(PAUSE_AFTER_FAILURE, () -> delete(cause, version, attempt + 1));
			}
			return null;
		});
	}

	/**
	 * Writes missing records: the daemon that saw the last crash may have failed, or the
	 * store may have been unavailable at that time. To be called about once a second.
	 */
	void writeMissing() {
		if (this.maintainsRecords.getAsBoolean()) {
			this.judge.unrecorded().forEach(this::recordCrashes);
			List.copyOf(this.lost).forEach(this::writeAgain);
		}
	}

	private void writeAgain(CrashCause cause) {
		Optional<StoredRecords.StoredRecord> known = this.records.get(cause);
		if (known.isEmpty()) {
			this.lost.remove(cause);
		}
		else if (!writeBlocked(cause)) {
			write(cause, known.get().record(), (written) -> {
			});
		}
	}

	private void write(CrashCause cause, CrashRecord record, Consumer<Boolean> written) {
		Optional<StoredRecords.StoredRecord> known = this.records.get(cause);
		long expected = this.lost.contains(cause) ? 0 : known.map(StoredRecords.StoredRecord::version).orElse(0L);
		this.writing.add(cause);
		this.store.write(key(cause), record.write(), expected).whenComplete((stored, failure) -> {
			this.writing.remove(cause);
			this.log.belief(cause.kind(), cause, "record", (failure != null) ? "not written" : "written", "crashes",
					record.crashes(), "trials", record.trials(), "trying", record.trying(), "lost", record.lost(),
					"expected", expected, "cause", (failure != null) ? failure.getMessage() : null);
			if (failure == null) {
				storeConfirmed(cause, record, stored);
			}
			else {
				boolean conflict = failure instanceof PlatformException refused
						&& refused.kind() == PlatformException.Kind.CONFLICT;
				Duration pause = conflict ? PAUSE_AFTER_CONFLICT : PAUSE_AFTER_FAILURE;
				this.retryNotBefore.put(cause, this.scheduler.nanos() + pause.toNanos());
			}
			written.accept(failure == null);
		});
	}

	private void storeConfirmed(CrashCause cause, CrashRecord record, StoredObject stored) {
		this.lost.remove(cause);
		this.records.put(cause, record, stored.version());
	}

	private void removeOldest() {
		if (this.records.causes().size() <= MAX_RECORDS || !this.maintainsRecords.getAsBoolean()) {
			return;
		}
		CrashCause oldest = null;
		long version = Long.MAX_VALUE;
		for (CrashCause cause : this.records.causes()) {
			long known = this.records.get(cause).orElseThrow().version();
			if (known < version) {
				oldest = cause;
				version = known;
			}
		}
		delete(oldest, version, 1);
	}

	private static ObjectKey key(CrashCause cause) {
		return new ObjectKey(CrashRecord.KIND, cause.value());
	}

}
