package org.bramleyscale.internal.gateway.catalog;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link EngineProfile} against times calculated by hand.
 */
class EngineProfileTests {

	private final EngineProfile profile = new EngineProfile(11, 405_000, 34, 2_048, 1.31, 0.00133, 0.00213, 154, 0.162);

	@ParameterizedTest
	@CsvSource({ "5000, 34.5", "45000, 456.2", "182000, 3864.9", "900000, 71454.2" })
	void prefillTimeGrowsFasterThanPromptLength(long tokens, double millis) {
		Truth.assertThat(this.profile.prefillMillis(tokens)).isWithin(0.1).of(millis);
	}

	@ParameterizedTest
	@CsvSource({ "0, 0, 44.5", "10, 50000, 48.6" })
	void passTimeGrowsWithWritersAndContext(int writers, long context, double millis) {
		Truth.assertThat(this.profile.passMillis(writers, context)).isWithin(0.1).of(millis);
	}

}
