package org.bramleyscale.internal.gateway.placement;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link LanePlan}.
 */
class LanePlanTests {

	@ParameterizedTest
	@CsvSource({ "21, 0, 0, 0, 2", "21, 25, 11.5, 0, 17", "21, 155, 0.4, 0, 2", "21, 300, 11, 0, 2", "21, 25, 4, 0, 10",
			"21, 25, 4, 6100, 13", "21, 25, 0, 4900, 10", "21, 0, 0, 99000, 18", "1, 5, 3, 0, 0", "2, 50, 0, 0, 1",
			"3, 0, 9, 0, 2" })
	void cutsEnginesByDemand(int engines, int shortActive, double longDemand, double backlog, int longEngines) {
		Truth.assertThat(LanePlan.of(engines, 11, shortActive, longDemand, backlog).longEngines())
			.isEqualTo(longEngines);
	}

}
