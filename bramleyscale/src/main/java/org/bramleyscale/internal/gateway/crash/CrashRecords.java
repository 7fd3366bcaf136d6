package org.bramleyscale.internal.gateway.crash;

import java.io.IOException;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.bramleyscale.internal.gateway.follow.FollowedObject;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Writes the records of requests under which endpoints ended, and reads the copies.
 *
 * <p>
 * Invariant: a trial is granted only by a conditional write that the store has confirmed,
 * so that never two daemons try a request at the same time, and none does while the store
 * is away. Confined to the scheduler's thread.
 */
final class CrashRecords {

	/** After another daemon's write; its copy comes by then. */
	static final Duration AFTER_CONFLICT = Duration.ofMillis(300);

	/** After a call without a result: the store may be away. */
	static final Duration AFTER_FAILURE = Duration.ofSeconds(1);

	/** A store that is away for longer is cleaned up later. */
	private static final int MOST_DELETIONS = 5;

	/** The store is kept at so many records. */
	static final int MOST_RECORDS = 5_000;

	private final Scheduler scheduler;

	private final ObjectStore store;

	private final CrashLedger ledger;

	private final BooleanSupplier tidies;

	private final DecisionLog log;

	private final Map<RequestDigest, Long> notBefore = new HashMap<>();

	private final Set<RequestDigest> writing = new HashSet<>();

	private final Set<RequestDigest> provenHere = new HashSet<>();

	/**
	 * Makes the records.
	 * @param scheduler the daemon's scheduler
	 * @param store the store
	 * @param ledger gets what is read and written
	 * @param tidies whether this daemon writes missing records and removes the oldest of
	 * too many
	 * @param log takes what is decided
	 */
	CrashRecords(Scheduler scheduler, ObjectStore store, CrashLedger ledger, BooleanSupplier tidies, DecisionLog log) {
		this.scheduler = scheduler;
		this.store = store;
		this.ledger = ledger;
		this.tidies = tidies;
		this.log = log;
	}

	/**
	 * Takes a record's new copy, or its deletion.
	 * @param object the copy
	 */
	void changed(FollowedObject object) {
		RequestDigest request = new RequestDigest(object.name());
		if (object.deleted()) {
			this.ledger.recordGone(request);
			return;
		}
		try {
			CrashRecord record = CrashRecord.read(object.value());
			if (this.provenHere.contains(request) && this.ledger.proven(request)) {
				// Another daemon wrote it before it heard of the answer here.
				delete(request, object.revision(), 1);
			}
			this.ledger.recorded(request, record, object.revision());
			this.log.belief("request", request, "crashes", record.crashes(), "trials", record.trials(), "trying",
					record.trying(), "revision", object.revision());
		}
		catch (IOException ex) {
			this.log.belief("request", request, "readable", false, "reason", ex.getMessage());
		}
		removeOldest();
	}

	/**
	 * Whether a trial can't be claimed at the moment.
	 * @param request the request
	 * @return true while an earlier write is under way, or failed just now
	 */
	boolean rests(RequestDigest request) {
		Long until = this.notBefore.get(request);
		if (until != null && this.scheduler.nanos() - until >= 0) {
			this.notBefore.remove(request);
			until = null;
		}
		return until != null || this.writing.contains(request);
	}

	/**
	 * Claims a trial.
	 * @param request the request
	 * @param granted told once whether it may be sent
	 */
	void claim(RequestDigest request, Consumer<Boolean> granted) {
		if (rests(request)) {
			granted.accept(false);
			return;
		}
		int trials = this.ledger.record(request).map((known) -> known.record().trials()).orElse(0);
		write(request, new CrashRecord(this.ledger.crashes(request), trials + 1, true), granted);
	}

	/**
	 * Writes down that endpoints have ended under a request, or under its trial.
	 * @param request the request
	 */
	void accuse(RequestDigest request) {
		if (rests(request)) {
			return;
		}
		int trials = this.ledger.record(request).map((known) -> known.record().trials()).orElse(0);
		write(request, new CrashRecord(this.ledger.crashes(request), trials, false), (written) -> {
		});
	}

	/**
	 * Deletes the record of a request that has run to an answer here, and those that
	 * others write meanwhile.
	 * @param request the request
	 * @param version the record's version, or 0 if none is known
	 */
	void clear(RequestDigest request, long version) {
		this.provenHere.removeIf((known) -> !this.ledger.proven(known));
		this.provenHere.add(request);
		if (version > 0) {
			delete(request, version, 1);
		}
	}

	private void delete(RequestDigest request, long version, int tried) {
		this.store.delete(key(request), version).exceptionally((failure) -> {
			boolean conflict = failure instanceof PlatformException refused
					&& refused.kind() == PlatformException.Kind.CONFLICT;
			boolean again = !conflict && tried < MOST_DELETIONS;
			this.log.belief("request", request, "record", "not deleted", "version", version, "cause",
					failure.getMessage(), "again", again);
			if (again) {
				this.scheduler.schedule(AFTER_FAILURE, () -> delete(request, version, tried + 1));
			}
			return null;
		});
	}

	/**
	 * Writes the records that are missing, since whoever saw the last crash may have
	 * ended, or the store may have been away then. To be called about once a second.
	 */
	void writeMissing() {
		if (this.tidies.getAsBoolean()) {
			this.ledger.unrecorded().forEach(this::accuse);
		}
	}

	private void write(RequestDigest request, CrashRecord record, Consumer<Boolean> written) {
		Optional<CrashLedger.Recorded> known = this.ledger.record(request);
		long expected = known.map(CrashLedger.Recorded::version).orElse(0L);
		this.writing.add(request);
		this.store.write(key(request), record.write(), expected).whenComplete((stored, failure) -> {
			this.writing.remove(request);
			this.log.belief("request", request, "record", (failure != null) ? "not written" : "written", "crashes",
					record.crashes(), "trials", record.trials(), "trying", record.trying(), "expected", expected,
					"cause", (failure != null) ? failure.getMessage() : null);
			if (failure == null) {
				taken(request, record, stored);
			}
			else {
				boolean conflict = failure instanceof PlatformException refused
						&& refused.kind() == PlatformException.Kind.CONFLICT;
				Duration pause = conflict ? AFTER_CONFLICT : AFTER_FAILURE;
				this.notBefore.put(request, this.scheduler.nanos() + pause.toNanos());
			}
			written.accept(failure == null);
		});
	}

	private void taken(RequestDigest request, CrashRecord record, StoredObject stored) {
		this.ledger.recorded(request, record, stored.version());
	}

	private void removeOldest() {
		if (this.ledger.recordedRequests().size() <= MOST_RECORDS || !this.tidies.getAsBoolean()) {
			return;
		}
		RequestDigest oldest = null;
		long version = Long.MAX_VALUE;
		for (RequestDigest request : this.ledger.recordedRequests()) {
			long known = this.ledger.record(request).orElseThrow().version();
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
