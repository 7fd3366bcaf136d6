package org.bramleyscale.internal.gateway.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.time.Clock;

/**
 * The crash records as they were last read from the platform's store or written to it.
 * Confined to the scheduler's thread.
 */
final class StoredRecords {

	private final Clock clock;

	private final TrialHolders holders;

	private final Map<CrashCause, StoredRecord> records = new HashMap<>();

	StoredRecords(Clock clock, TrialHolders holders) {
		this.clock = clock;
		this.holders = holders;
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
					&& known.record().trials() == record.trials() && known.record().by().equals(record.by());
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
	 * Whether the last trial of a cause may be in progress.
	 * @param known the cause's record
	 * @return false once it has ended, with its daemon too, or timed out
	 */
	boolean trialInProgress(StoredRecord known) {
		return known.record().trying() && holderState(known) == TrialHolders.State.MAY_RUN
				&& this.clock.nanos() - known.at() < CrashRecord.TRIAL_TIMEOUT.toNanos();
	}

	/**
	 * Whether the last trial of a cause had no outcome.
	 * @param known the cause's record
	 * @return true once it can't have one any more
	 */
	boolean trialLost(StoredRecord known) {
		return known.record().trying() && !trialInProgress(known);
	}

	/**
	 * The record of a cause without a trial that was lost with its daemon.
	 * @param known the cause's record
	 * @return the record
	 */
	CrashRecord withoutLostTrial(StoredRecord known) {
		boolean lost = known.record().trying() && holderState(known) == TrialHolders.State.ENDED;
		return lost ? known.record().afterLostTrial() : known.record();
	}

	private TrialHolders.State holderState(StoredRecord known) {
		return known.record().holder().map(this.holders::state).orElse(TrialHolders.State.MAY_RUN);
	}

	/**
	 * The daemon that claims trials here.
	 * @return its start
	 */
	Incarnation self() {
		return this.holders.self();
	}

	/**
	 * A cause's record as it was last read or written.
	 *
	 * @param record the record
	 * @param version its version in the store
	 * @param at when this daemon read or wrote it, or learnt of the trial in progress
	 */
	record StoredRecord(CrashRecord record, long version, long at) {
	}

}
