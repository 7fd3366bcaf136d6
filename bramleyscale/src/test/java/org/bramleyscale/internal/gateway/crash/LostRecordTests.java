package org.bramleyscale.internal.gateway.crash;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.follow.ObjectCopy;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PartialStore;
import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of {@link CrashRecords} with a store that comes back from an older copy.
 */
class LostRecordTests {

	private static final CrashCause REQUEST = new CrashCause("d1");

	private static final CrashRecord RECORD = new CrashRecord(4, 2, false, Set.of(), "", 0);

	private final ManualScheduler scheduler = new ManualScheduler();

	private final StoredRecords stored = new StoredRecords(this.scheduler, new LoneHolder());

	private final CrashEvidence evidence = new CrashEvidence(this.scheduler, this.stored);

	private final CrashJudge judge = new CrashJudge(this.evidence, this.stored);

	private final List<Long> conditions = new ArrayList<>();

	private boolean maintains = true;

	private final CrashRecords records = new CrashRecords(this.scheduler, new RecordingStore(), this.stored,
			this.evidence, this.judge, () -> this.maintains, DecisionLog.NONE);

	/** Guards against a request that crashes endpoints anew once its record is lost. */
	@ParameterizedTest
	@ValueSource(booleans = { true, false })
	void recordThatAnOlderCopyLacksStaysInForceAndIsWrittenAgain(boolean maintainer) {
		this.maintains = maintainer;
		this.records.changed(new ObjectCopy(REQUEST.value(), StoreRevision.of(1, 50), RECORD.write()));
		this.records.changed(new ObjectCopy(REQUEST.value(), StoreRevision.of(2, 30), null));
		Truth.assertThat(verdict()).isEqualTo(Verdict.BLOCKED);
		this.records.writeMissing();
		this.records.writeMissing();
		Truth.assertThat(this.conditions).isEqualTo(maintainer ? List.of(0L) : List.of());
		Truth.assertThat(verdict()).isEqualTo(Verdict.BLOCKED);
	}

	@Test
	void recordThatIsDeletedInItsEraIsGone() {
		this.records.changed(new ObjectCopy(REQUEST.value(), StoreRevision.of(2, 50), RECORD.write()));
		this.records.changed(new ObjectCopy(REQUEST.value(), StoreRevision.of(2, 60), null));
		this.records.writeMissing();
		Truth.assertThat(this.conditions).isEmpty();
		Truth.assertThat(verdict()).isEqualTo(Verdict.CLEAR);
	}

	private Verdict verdict() {
		return this.judge.verdict(new CrashCauses(REQUEST, List.of()), (cause) -> 0);
	}

	/**
	 * Confirms each write in the second era.
	 */
	private final class RecordingStore implements PartialStore {

		@Override
		public CompletableFuture<StoredObject> write(ObjectKey key, byte[] value, long expected) {
			LostRecordTests.this.conditions.add(expected);
			return CompletableFuture.completedFuture(new StoredObject(key, StoreRevision.of(2, 40), value));
		}

	}

}
