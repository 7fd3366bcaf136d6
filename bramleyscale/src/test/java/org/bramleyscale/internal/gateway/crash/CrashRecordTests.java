package org.bramleyscale.internal.gateway.crash;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests of {@link CrashRecord}.
 */
class CrashRecordTests {

	static Stream<String> oddRecords() {
		return Stream.of("null", "[]", "\"x\"", "", "{", "NaN", "[".repeat(30_000) + "]".repeat(30_000),
				"{\"crashes\":" + "9".repeat(1_200) + "}", "{\"with\":[null]}", "{\"with\":{}}");
	}

	/** Guards against a record of another writer that fails in an unexpected way. */
	@ParameterizedTest
	@MethodSource("oddRecords")
	void recordThatCannotBeReadIsReported(String odd) {
		Truth.assertThat(isReadable(odd)).isFalse();
	}

	private static boolean isReadable(String odd) {
		try {
			CrashRecord.read(odd.getBytes(StandardCharsets.UTF_8));
			return true;
		}
		catch (IOException ex) {
			return false;
		}
	}

	@Test
	void readsTheRecordThatItWrote() throws Exception {
		CrashRecord record = CrashRecord.untried(3);
		Truth.assertThat(CrashRecord.read(record.write())).isEqualTo(record);
	}

}
