package org.bramleyscale.internal.gateway.crash;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PartialStore;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;

/**
 * Tests of trials that are claimed and not made.
 */
class ReturnedTrialTests {

	private static final CrashCause PART = CrashCause.part("a1");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final StoredRecords stored = new StoredRecords(this.scheduler, new LoneHolder());

	private final CrashEvidence evidence = new CrashEvidence(this.scheduler, this.stored);

	private final List<CrashRecord> written = new ArrayList<>();

	private final CrashRecords records = new CrashRecords(this.scheduler, new RecordingStore(), this.stored,
			this.evidence, new CrashJudge(this.evidence, this.stored), () -> true, DecisionLog.NONE);

	/**
	 * Guards against a store that is written to for each request while no endpoint is up.
	 */
	@Test
	void returnedTrialIsClaimedAgainOnlyAfterAPause() {
		for (int millis = 0; millis < 3_000; millis += 10) {
			CrashRecord before = this.records.known(PART);
			this.records.claimTrial(PART, Set.of(), (granted) -> {
				if (granted) {
					this.records.returnTrial(PART, before);
				}
			});
			this.scheduler.advance(Duration.ofMillis(10));
		}
		Truth.assertThat(this.written.size()).isAtMost(2 * 10);
		Truth.assertThat(this.written.get(this.written.size() - 1).trials()).isEqualTo(0);
	}

	/**
	 * Confirms each write.
	 */
	private final class RecordingStore implements PartialStore {

		@Override
		public CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
			try {
				ReturnedTrialTests.this.written.add(CrashRecord.read(value));
			}
			catch (IOException ex) {
				throw new IllegalStateException(ex);
			}
			return CompletableFuture.completedFuture(new StoredObject(key, expected + 1, value));
		}

	}

}
