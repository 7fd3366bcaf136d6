package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.List;
import java.util.Set;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link CrashEvidence} and of {@link CrashJudge}, which decides by it.
 */
class CrashEvidenceTests {

	private static final CrashCause CRASHING = new CrashCause("deadly");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final StoredRecords records = new StoredRecords(this.scheduler, new LoneHolder());

	private final CrashEvidence evidence = new CrashEvidence(this.scheduler, this.records);

	private final CrashJudge judge = new CrashJudge(this.evidence, this.records);

	/** Guards against unbounded memory use when callers send ever new requests. */
	@Test
	void evictsCausesWithFewestCrashesWhenFull() {
		crash(CRASHING, 1, CrashJudge.TRIAL_THRESHOLD);
		for (int i = 0; i < 3 * CrashEvidence.MAX_SUSPECTS; i++) {
			this.evidence.crashed(new CrashCause("made up " + i), endpoint(0));
		}
		Truth.assertThat(this.evidence.suspectCount()).isEqualTo(CrashEvidence.MAX_SUSPECTS);
		Truth.assertThat(verdict(CRASHING)).isEqualTo(Verdict.TRIAL);
	}

	/** Guards against a crash that daemons repeat to each other forever. */
	@Test
	void stopsRepeatingACrashButRemembersIt() {
		this.evidence.crashed(CRASHING, endpoint(1));
		Truth.assertThat(this.evidence.crashesToRepeat(20, this.records::contains)).hasSize(1);
		this.scheduler.advance(CrashEvidence.REPEAT_PERIOD.plus(Duration.ofSeconds(1)));
		Truth.assertThat(this.evidence.crashesToRepeat(20, this.records::contains)).isEmpty();
		Truth.assertThat(verdict(CRASHING)).isEqualTo(Verdict.SUSPECT);
	}

	@Test
	void countsAnEndpointOnce() {
		Truth.assertThat(this.evidence.crashed(CRASHING, endpoint(1))).isTrue();
		Truth.assertThat(this.evidence.crashed(CRASHING, endpoint(1))).isFalse();
		Truth.assertThat(this.judge.crashes(CRASHING)).isEqualTo(1);
	}

	@Test
	void retractedCrashIsNotCounted() {
		this.evidence.crashed(CRASHING, endpoint(1));
		Truth.assertThat(this.evidence.retractCrashes(endpoint(1))).isTrue();
		Truth.assertThat(verdict(CRASHING)).isEqualTo(Verdict.CLEAR);
	}

	/** Guards against suspecting what ran on endpoints that were lost together. */
	@ParameterizedTest
	@CsvSource({ "1, 1", "2, 2", "14, 2" })
	void crashesOfOneMomentCountAsTwoAtMost(int endpoints, int count) {
		for (int i = 0; i < endpoints; i++) {
			this.evidence.crashed(CRASHING, endpoint(i));
		}
		Truth.assertThat(this.evidence.count(CRASHING, (endpoint) -> false)).isEqualTo(count);
	}

	/** Guards against a part that turns deadly while its last answers come in. */
	@Test
	void clearedCauseIsSuspectedAfterMoreCrashes() {
		crash(CRASHING, 1, 2);
		this.evidence.clear(CRASHING);
		crash(CRASHING, 3, CrashJudge.CLEARED_THRESHOLD - 1);
		Truth.assertThat(verdict(CRASHING)).isEqualTo(Verdict.SUSPECT);
		crash(CRASHING, 20, 1);
		Truth.assertThat(verdict(CRASHING)).isEqualTo(Verdict.TRIAL);
	}

	/** Guards against suspecting a popular part for the crashes of a deadly one. */
	@Test
	void clearedCauseIsNotSuspectedForCrashesThatAnotherExplains() {
		CrashCause popular = CrashCause.part("a1");
		crash(popular, 0, 1);
		this.evidence.clear(popular);
		for (int i = 1; i <= CrashJudge.CLEARED_THRESHOLD; i++) {
			crash(popular, i, 1);
			this.evidence.crashed(CRASHING, endpoint(i));
		}
		Truth.assertThat(verdict(popular)).isEqualTo(Verdict.CLEAR);
		Truth.assertThat(verdict(CRASHING)).isEqualTo(Verdict.TRIAL);
	}

	/** Guards against refusing for ever a part that was only tried beside the cause. */
	@ParameterizedTest
	@CsvSource({ "2, deadly, other, TRIAL", "2, deadly, deadly, BLOCKED", "3, deadly, other, TRIAL",
			"4, deadly, other, BLOCKED", "2, '', other, BLOCKED" })
	void causeTriedBesideAnotherIsTriedAgainWithoutIt(int trials, String with, String request, Verdict expected) {
		CrashCause companion = CrashCause.part("a1");
		Set<String> others = with.isEmpty() ? Set.of() : Set.of(with);
		this.records.put(companion, new CrashRecord(5, trials, false, others, "", 0), 1);
		CrashCauses causes = new CrashCauses(new CrashCause(request), List.of(companion));
		Truth.assertThat(this.judge.verdict(causes, (cause) -> 0)).isEqualTo(expected);
	}

	/** Guards against blaming a cause for a trial that another one had in common. */
	@Test
	void recordKeepsWhatAllTrialsHadInCommon() throws Exception {
		CrashRecord record = CrashRecord.untried(3).withTrial(3, Set.of("b", "c"), LoneHolder.SELF).withCrashes(4);
		Truth.assertThat(record.withTrial(4, Set.of("c", "d"), LoneHolder.SELF).with()).containsExactly("c");
		Truth.assertThat(CrashRecord.read(record.write())).isEqualTo(record);
		Truth.assertThat(CrashRecord.read("{\"crashes\":4,\"trials\":2,\"trying\":false}".getBytes()))
			.isEqualTo(new CrashRecord(4, 2, false, Set.of(), "", 0));
	}

	/** Guards against checks of lost connections that stall what was just answered. */
	@Test
	void pendingChecksDoNotCountAgainstAClearedCause() {
		crash(CRASHING, 1, 1);
		this.evidence.clear(CRASHING);
		CrashCauses causes = new CrashCauses(CRASHING, List.of());
		Truth.assertThat(this.judge.verdict(causes, (cause) -> 14)).isEqualTo(Verdict.CLEAR);
	}

	private void crash(CrashCause cause, int first, int count) {
		for (int i = first; i < first + count; i++) {
			this.evidence.crashed(cause, endpoint(i));
			this.scheduler.advance(CrashMoments.MOMENT);
		}
	}

	private Verdict verdict(CrashCause cause) {
		return this.judge.verdict(new CrashCauses(cause, List.of()), (each) -> 0);
	}

	private static EndpointStart endpoint(int number) {
		return EndpointStart.withUnknownStart("e" + number);
	}

}
