package org.bramleyscale.internal.gateway.node;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link DaemonRecord}.
 */
class DaemonRecordTests {

	@ParameterizedTest
	@CsvSource({ "1000, 5000, 5000", "5000, 2600, 5001", "5000, 5000, 5001" })
	void startsAreNumberedUpwardsThoughTheTimeOfDayStepsBack(long before, long wallMillis, long start) {
		// Symptom: peers ignore a daemon for minutes. Sequence: the time of day steps
		// back by
		// 2.4 s and the daemon is killed and started again. Cause: its number is smaller
		// than
		// before, so what it says looks like a message from the past.
		DaemonRecord record = new DaemonRecord("10.0.0.1", "east", "10.0.0.1:1", "10.0.0.1:2", false, before);
		Truth.assertThat(record.startAfter(wallMillis)).isEqualTo(start);
	}

	@Test
	void readsWhatItWrote() throws Exception {
		DaemonRecord record = new DaemonRecord("10.0.0.1", "east", "10.0.0.1:1", "10.0.0.1:2", true, 7);
		Truth.assertThat(DaemonRecord.read(record.write())).isEqualTo(record);
	}

}
