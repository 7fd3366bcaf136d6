package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToIntFunction;

import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * Decides from the evidence and the stored records whether a request may be sent.
 *
 * <p>
 * A request is judged by the worst of its causes. Invariants: a cause under which
 * {@link #TRIAL_THRESHOLD} endpoints have crashed without an answer is sent only as a
 * trial, {@link #MAX_TRIALS} times; one that was answered shortly before is suspected
 * later, and not for crashes that another cause explains; a cause that was only tried
 * beside others is tried again without them, {@link #MAX_TRIALS_APART} times in all.
 * Confined to the scheduler's thread.
 */
final class CrashJudge {

	/** Number of crashes from which on a cause is sent only as a trial. */
	static final int TRIAL_THRESHOLD = 3;

	/**
	 * The same for a cause that an answer has cleared lately. With its trials it meets
	 * three endpoints after the fifth at most.
	 */
	static final int CLEARED_THRESHOLD = 5;

	/**
	 * Maximum number of trials of one cause in the whole fleet. A request that an
	 * endpoint could serve has thus met five crashes in a row before it is refused.
	 */
	static final int MAX_TRIALS = 2;

	/**
	 * The same for a cause that requests share, with trials that had no outcome, and
	 * those of requests that lack a cause which all earlier trials had in common. A cause
	 * that crashes endpoints reaches three after the fifth at most.
	 */
	static final int MAX_TRIALS_APART = 4;

	/**
	 * How long after a crash answers may be under way that clear a cause. A block refuses
	 * nothing until then; short requests end within this time.
	 */
	static final Duration ANSWERS_UNDER_WAY = Duration.ofSeconds(2);

	private final CrashEvidence evidence;

	private final StoredRecords records;

	CrashJudge(CrashEvidence evidence, StoredRecords records) {
		this.evidence = evidence;
		this.records = records;
	}

	/**
	 * Decides whether a request may be sent.
	 * @param causes its causes
	 * @param pendingChecks the number of endpoints that may have crashed under a cause
	 * and are being checked
	 * @return the verdict
	 */
	Verdict verdict(CrashCauses causes, ToIntFunction<CrashCause> pendingChecks) {
		Verdict worst = Verdict.CLEAR;
		for (CrashCause cause : causes.all()) {
			Verdict verdict = verdict(cause, causes, pendingChecks);
			worst = (verdict.compareTo(worst) > 0) ? verdict : worst;
		}
		return worst;
	}

	/**
	 * Returns the causes of a request that have a verdict.
	 * @param causes its causes
	 * @param sought the verdict
	 * @return the causes, in an order that all daemons use
	 */
	List<CrashCause> withVerdict(CrashCauses causes, Verdict sought) {
		return causes.all()
			.stream()
			.filter((cause) -> verdict(cause, causes, (each) -> 0) == sought)
			.sorted((one, other) -> one.value().compareTo(other.value()))
			.toList();
	}

	/**
	 * Whether a cause is sent only as a trial, by the crashes that are known here.
	 * @param cause the cause
	 * @return true if it needs a record
	 */
	boolean suspected(CrashCause cause) {
		boolean cleared = this.evidence.recentlyCleared(cause);
		return count(cause, cleared) >= threshold(cleared) && !judgedByWider(cause);
	}

	/**
	 * Whether a cause needs no verdict, since one that includes it is suspected already.
	 * @param cause the cause
	 * @return false for the widest causes
	 */
	private boolean judgedByWider(CrashCause cause) {
		return cause.wider().filter((wider) -> this.records.contains(wider) || suspected(wider)).isPresent();
	}

	/**
	 * Returns the causes that are sent only as trials and have no record yet.
	 * @return a copy
	 */
	List<CrashCause> unrecorded() {
		return this.evidence.suspects(TRIAL_THRESHOLD)
			.stream()
			.filter((cause) -> !this.records.contains(cause) && suspected(cause))
			.toList();
	}

	/**
	 * Counts the endpoints that have crashed under a cause since it was last cleared.
	 * @param cause the cause
	 * @return the larger of the numbers known here and in the store
	 */
	int crashes(CrashCause cause) {
		int stored = this.records.get(cause).map((known) -> known.record().crashes()).orElse(0);
		return Math.max(this.evidence.size(cause), stored);
	}

	private Verdict verdict(CrashCause cause, CrashCauses causes, ToIntFunction<CrashCause> pendingChecks) {
		boolean cleared = this.evidence.recentlyCleared(cause);
		int pending = cleared ? 0 : pendingChecks.applyAsInt(cause);
		int count = count(cause, cleared);
		boolean suspected = count + pending >= threshold(cleared);
		if (suspected && judgedByWider(cause)) {
			return Verdict.CLEAR;
		}
		Optional<StoredRecords.StoredRecord> record = this.records.get(cause).filter((known) -> suspected || !cleared);
		if (record.isEmpty() && !suspected) {
			return (count + pending == 0) ? Verdict.CLEAR : Verdict.SUSPECT;
		}
		boolean inProgress = record.filter(this.records::trialInProgress).isPresent();
		if (!inProgress && record
			.filter((known) -> this.records.withoutLostTrial(known).trials() >= maxTrials(cause, known, causes))
			.isPresent()) {
			return this.evidence.crashedWithin(cause, ANSWERS_UNDER_WAY) ? Verdict.WAIT : Verdict.BLOCKED;
		}
		return (inProgress || pending > 0) ? Verdict.WAIT : Verdict.TRIAL;
	}

	private int maxTrials(CrashCause cause, StoredRecords.StoredRecord known, CrashCauses causes) {
		boolean undecided = this.records.trialLost(known) || known.record().lost() > 0 || known.record().differs(causes)
				|| lostWithOthers(cause, known.record());
		if (!cause.shared() || !undecided) {
			return MAX_TRIALS;
		}
		boolean lateTrials = known.record().crashes() - known.record().trials() >= CLEARED_THRESHOLD;
		return lateTrials ? MAX_TRIALS_APART - 1 : MAX_TRIALS_APART;
	}

	/**
	 * Whether losses of many endpoints, which don't count, have ended trials of a cause.
	 * @param cause the cause
	 * @param record its record
	 * @return false if this daemon doesn't know all crashes in the record
	 */
	private boolean lostWithOthers(CrashCause cause, CrashRecord record) {
		return this.evidence.size(cause) >= record.crashes()
				&& this.evidence.count(cause, (endpoint) -> false) < TRIAL_THRESHOLD + MAX_TRIALS;
	}

	private static int threshold(boolean cleared) {
		return cleared ? CLEARED_THRESHOLD : TRIAL_THRESHOLD;
	}

	private int count(CrashCause cause, boolean cleared) {
		int endpoints = this.evidence.size(cause);
		if (endpoints < TRIAL_THRESHOLD) {
			return endpoints;
		}
		int count = this.evidence.count(cause, (endpoint) -> false);
		if (!cleared || count < CLEARED_THRESHOLD) {
			return count;
		}
		Set<EndpointStart> explained = new HashSet<>();
		this.evidence.suspects(TRIAL_THRESHOLD)
			.stream()
			.filter((other) -> !this.evidence.recentlyCleared(other))
			.forEach((other) -> explained.addAll(this.evidence.endpoints(other)));
		return this.evidence.count(cause, explained::contains);
	}

}
