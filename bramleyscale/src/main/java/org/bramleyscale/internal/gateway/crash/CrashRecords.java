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
 * so that two daemons never try a request at the same time, and none does while the store
 * is unavailable. Confined to the scheduler's thread.
 */
final class CrashRecords {

	/**
	 * Pause after a conflict with another daemon's write; the copy of that write arrives
	 * within this time.
	 */
	static final Duration PAUSE_AFTER_CONFLICT = Duration.ofMillis(300);

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

	private final CrashRegistry registry;

	private final BooleanSupplier maintainsRecords;

	private final DecisionLog log;

	private final Map<RequestDigest, Long> retryNotBefore = new HashMap<>();

	private final Set<RequestDigest> writing = new HashSet<>();

	private final Set<RequestDigest> clearedHere = new HashSet<>();

	/**
	 * The records that an older copy of the store lacks and that aren't written again.
	 */
	private final Set<RequestDigest> lost = new HashSet<>();

	/**
	 * Creates the writer of crash records.
	 * @param scheduler the daemon's scheduler
	 * @param store the store
	 * @param registry receives the records that are read and written
	 * @param maintainsRecords whether this daemon writes missing records and deletes the
	 * oldest ones above the maximum
	 * @param log the decision log
	 */
	CrashRecords(Scheduler scheduler, ObjectStore store, CrashRegistry registry, BooleanSupplier maintainsRecords,
			DecisionLog log) {
		this.scheduler = scheduler;
		this.store = store;
		this.registry = registry;
		this.maintainsRecords = maintainsRecords;
		this.log = log;
	}

	/**
	 * Applies a changed or deleted record.
	 * @param object the record's copy
	 */
	void changed(ObjectCopy object) {
		RequestDigest request = new RequestDigest(object.name());
		if (object.deleted()) {
			removed(request, object.revision());
			return;
		}
		try {
			CrashRecord record = CrashRecord.read(object.value());
			if (this.clearedHere.contains(request) && this.registry.recentlyCleared(request)) {
				// Another daemon wrote it before it learnt of the answer here.
				delete(request, object.revision(), 1);
			}
			this.lost.remove(request);
			this.registry.putRecord(request, record, object.revision());
			this.log.belief("request", request, "crashes", record.crashes(), "trials", record.trials(), "trying",
					record.trying(), "revision", StoreRevision.text(object.revision()));
		}
		catch (IOException ex) {
			this.log.belief("request", request, "readable", false, "reason", ex.getMessage());
		}
		removeOldest();
	}

	/**
	 * Removes a record, unless it is missing only because the store has come back from a
	 * copy that was made before it; then it is written again.
	 * @param request the request
	 * @param revision the revision of the removal
	 */
	private void removed(RequestDigest request, long revision) {
		Optional<CrashRegistry.StoredRecord> known = this.registry.record(request);
		boolean lost = known.isPresent() && StoreRevision.isOfEarlierEra(known.get().version(), revision);
		if (lost) {
			this.lost.add(request);
		}
		else {
			this.registry.removeRecord(request);
		}
	}

	/**
	 * Whether a request's record can't be written at the moment.
	 * @param request the request
	 * @return true while a write is in progress, or during the pause after a failed one
	 */
	boolean writeBlocked(RequestDigest request) {
		Long until = this.retryNotBefore.get(request);
		if (until != null && this.scheduler.nanos() - until >= 0) {
			this.retryNotBefore.remove(request);
			until = null;
		}
		return until != null || this.writing.contains(request);
	}

	/**
	 * Claims a trial of a request.
	 * @param request the request
	 * @param granted called once with whether the request may be sent
	 */
	void claimTrial(RequestDigest request, Consumer<Boolean> granted) {
		if (writeBlocked(request)) {
			granted.accept(false);
			return;
		}
		int trials = this.registry.record(request).map((known) -> known.record().trials()).orElse(0);
		write(request, new CrashRecord(this.registry.crashes(request), trials + 1, true), granted);
	}

	/**
	 * Writes the number of crashes of a request, which also ends its trial.
	 * @param request the request
	 */
	void recordCrashes(RequestDigest request) {
		if (writeBlocked(request)) {
			return;
		}
		int trials = this.registry.record(request).map((known) -> known.record().trials()).orElse(0);
		write(request, new CrashRecord(this.registry.crashes(request), trials, false), (written) -> {
		});
	}

	/**
	 * Deletes the record of a request that has run to completion here, and those that
	 * other daemons write before they learn of it.
	 * @param request the request
	 * @param version the record's version, or 0 if none is known
	 */
	void clear(RequestDigest request, long version) {
		this.clearedHere.removeIf((known) -> !this.registry.recentlyCleared(known));
		this.clearedHere.add(request);
		if (version > 0) {
			delete(request, version, 1);
		}
	}

	private void delete(RequestDigest request, long version, int attempt) {
		this.store.delete(key(request), version).exceptionally((failure) -> {
			boolean conflict = failure instanceof PlatformException refused
					&& refused.kind() == PlatformException.Kind.CONFLICT;
			boolean retry = !conflict && attempt < MAX_DELETE_ATTEMPTS;
			this.log.belief("request", request, "record", "not deleted", "version", version, "cause",
					failure.getMessage(), "again", retry);
			if (retry) {
				this.scheduler.schedule(PAUSE_AFTER_FAILURE, () -> delete(request, version, attempt + 1));
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
			this.registry.unrecorded().forEach(this::recordCrashes);
			List.copyOf(this.lost).forEach(this::writeAgain);
		}
	}

	private void writeAgain(RequestDigest request) {
		Optional<CrashRegistry.StoredRecord> known = this.registry.record(request);
		if (known.isEmpty()) {
			this.lost.remove(request);
		}
		else if (!writeBlocked(request)) {
			write(request, known.get().record(), (written) -> {
			});
		}
	}

	private void write(RequestDigest request, CrashRecord record, Consumer<Boolean> written) {
		Optional<CrashRegistry.StoredRecord> known = this.registry.record(request);
		long expected = this.lost.contains(request) ? 0 : known.map(CrashRegistry.StoredRecord::version).orElse(0L);
		this.writing.add(request);
		this.store.write(key(request), record.write(), expected).whenComplete((stored, failure) -> {
			this.writing.remove(request);
			this.log.belief("request", request, "record", (failure != null) ? "not written" : "written", "crashes",
					record.crashes(), "trials", record.trials(), "trying", record.trying(), "expected", expected,
					"cause", (failure != null) ? failure.getMessage() : null);
			if (failure == null) {
				storeConfirmed(request, record, stored);
			}
			else {
				boolean conflict = failure instanceof PlatformException refused
						&& refused.kind() == PlatformException.Kind.CONFLICT;
				Duration pause = conflict ? PAUSE_AFTER_CONFLICT : PAUSE_AFTER_FAILURE;
				this.retryNotBefore.put(request, this.scheduler.nanos() + pause.toNanos());
			}
			written.accept(failure == null);
		});
	}

	private void storeConfirmed(RequestDigest request, CrashRecord record, StoredObject stored) {
		this.lost.remove(request);
		this.registry.putRecord(request, record, stored.version());
	}

	private void removeOldest() {
		if (this.registry.recordedRequests().size() <= MAX_RECORDS || !this.maintainsRecords.getAsBoolean()) {
			return;
		}
		RequestDigest oldest = null;
		long version = Long.MAX_VALUE;
		for (RequestDigest request : this.registry.recordedRequests()) {
			long known = this.registry.record(request).orElseThrow().version();
			if (known < version) {
				oldest = request;
				version = known;
			}
		}
		delete(oldest, version, 1);
	}

	private static ObjectKey key(RequestDigest request) {
		return new ObjectKey(CrashRecord.KIND, request.value());
	}

}
