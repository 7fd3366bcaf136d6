package org.bramleyscale.internal.gateway.node;

import java.nio.charset.StandardCharsets;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.peer.VmCapacity;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link DaemonRecord}.
 */
class DaemonRecordTests {

	@ParameterizedTest
	@CsvSource({ "1000, 5000, 5000", "5000, 2600, 5001", "5000, 5000, 5001" })
	void startNumbersIncreaseThoughTheTimeOfDayStepsBack(long previous, long wallMillis, long start) {
		// Symptom: peers ignore a daemon for minutes. Sequence: the time of day steps
		// back by 2.4 s and the daemon is killed and started again. Cause: its start
		// number is smaller than before, so its messages look like those of an earlier
		// start.
		DaemonRecord record = new DaemonRecord("10.0.0.1", "east", "10.0.0.1:1", "10.0.0.1:2", false, previous,
				VmCapacity.UNKNOWN);
		Truth.assertThat(record.startAfter(wallMillis)).isEqualTo(start);
	}

	@Test
	void recordWithoutCapacityHasUnknownCapacity() throws Exception {
		byte[] json = "{\"vm\":\"10.0.0.1\",\"dataCentre\":\"east\",\"start\":3}".getBytes(StandardCharsets.UTF_8);
		Truth.assertThat(DaemonRecord.read(json).capacity()).isEqualTo(VmCapacity.UNKNOWN);
	}

	@Test
	void readsTheRecordThatItWrote() throws Exception {
		DaemonRecord record = new DaemonRecord("10.0.0.1", "east", "10.0.0.1:1", "10.0.0.1:2", true, 7,
				new VmCapacity(360, 14));
		Truth.assertThat(DaemonRecord.read(record.write())).isEqualTo(record);
	}

}
