package org.bramleyscale.internal.gateway.crash;

import java.util.List;
import java.util.Set;

import com.google.common.truth.Truth;
import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of trials whose daemons have ended.
 */
class LostTrialTests {

	private static final CrashCause PART = CrashCause.part("a1");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final StoredRecords stored = new StoredRecords(this.scheduler, new LoneHolder());

	private final CrashJudge judge = new CrashJudge(new CrashEvidence(this.scheduler, this.stored), this.stored);

	/**
	 * Guards against a new fleet that waits for the outcome of a trial of the lost one.
	 */
	@ParameterizedTest
	@CsvSource({ "d1~b, 1, 0, WAIT", "d2~b, 1, 0, TRIAL", "d2~b, 4, 0, TRIAL", "d2~b, 4, 3, BLOCKED", "'', 1, 0, WAIT",
			"other, 1, 0, WAIT" })
	void trialEndsWithItsDaemon(String by, int trials, int lost, Verdict expected) {
		this.stored.put(PART, new CrashRecord(4, trials, true, Set.of(), by, lost), 1);
		CrashCauses causes = new CrashCauses(new CrashCause("request"), List.of(PART));
		Truth.assertThat(this.judge.verdict(causes, (cause) -> 0)).isEqualTo(expected);
	}

	/** Guards against a part that ends endpoints and is tried for ever. */
	@Test
	void onlyAFewLostTrialsDoNotCount() {
		CrashRecord record = CrashRecord.untried(5);
		for (int i = 0; i < 10; i++) {
			record = record.withTrial(5, Set.of(), Incarnation.parse("d2~b")).afterLostTrial();
		}
		Truth.assertThat(record.trials()).isEqualTo(7);
		Truth.assertThat(record.lost()).isEqualTo(3);
	}

}
