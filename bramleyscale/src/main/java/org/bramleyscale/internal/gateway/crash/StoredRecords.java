package org.bramleyscale.internal.gateway.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.internal.time.Clock;

/**
 * The crash records as they were last read from the platform's store or written to it.
 * Confined to the scheduler's thread.
 */
final class StoredRecords {

	private final Clock clock;

	private final Map<CrashCause, StoredRecord> records = new HashMap<>();

	StoredRecords(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Stores a record, unless a newer version is known.
	 * @param cause the cause
	 * @param record the record
	 * @param version its version
	 */
	void put(CrashCause cause, CrashRecord record, long version) {
		StoredRecord known = this.records.get(cause);
		if (known == null || version > known.version()) {
			boolean sameTrial = known != null && record.trying() && known.record().trying()
					&& known.record().trials() == record.trials();
			this.records.put(cause, new StoredRecord(record, version, sameTrial ? known.at() : this.clock.nanos()));
		}
	}

	/**
	 * Removes a record.
	 * @param cause the cause
	 * @return the removed record, if there was one
	 */
	Optional<StoredRecord> remove(CrashCause cause) {
		return Optional.ofNullable(this.records.remove(cause));
	}

	Optional<StoredRecord> get(CrashCause cause) {
		return Optional.ofNullable(this.records.get(cause));
	}

	boolean contains(CrashCause cause) {
		return this.records.containsKey(cause);
	}

	Collection<CrashCause> causes() {
		return this.records.keySet();
	}

	/**
	 * A cause's record as it was last read or written.
	 *
	 * @param record the record
	 * @param version its version in the store
	 * @param at when this daemon read or wrote it, or learnt of the trial in progress
	 */
	record StoredRecord(CrashRecord record, long version, long at) {

		/**
		 * Whether a trial of the cause may be in progress.
		 * @param now the time
		 * @return false once the trial has ended or timed out
		 */
		boolean trialInProgress(long now) {
			return this.record.trying() && now - this.at < CrashRecord.TRIAL_TIMEOUT.toNanos();
		}

		/**
		 * Whether the last trial of the cause had no outcome.
		 * @param now the time
		 * @return true once it has timed out
		 */
		boolean trialLost(long now) {
			return this.record.trying() && !trialInProgress(now);
		}

	}

}
