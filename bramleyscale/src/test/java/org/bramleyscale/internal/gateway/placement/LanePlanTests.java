package org.bramleyscale.internal.gateway.placement;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link LanePlan}.
 */
class LanePlanTests {

	@ParameterizedTest
	@CsvSource({ "21, 0, 16", "21, 25, 16", "21, 50, 14", "21, 100, 8", "21, 140, 2", "21, 300, 2", "14, 60, 6",
			"69, 200, 43", "69, 10, 52", "1, 5, 0", "2, 50, 1", "3, 0, 2" })
	void longPromptsGetTheEnginesThatShortOnesDoNotNeed(int engines, int shortActive, int longEngines) {
		Truth.assertThat(LanePlan.of(engines, 11, shortActive, 0.7, 0.7).longEngines()).isEqualTo(longEngines);
	}

	@ParameterizedTest
	@CsvSource({
			// few engines: no extra room for short prompts
			"21, 50, 14", "14, 60, 6", "1, 5, 0",
			// many engines: twice the slots, but the long lane keeps enough for one
			// prompt
			"54, 0, 40", "54, 120, 24", "54, 150, 17", "54, 200, 17", "54, 300, 5", "172, 300, 97" })
	void shortPromptsGetMoreEnginesWhileTheLongLaneKeepsEnoughForOnePrompt(int engines, int shortActive,
			int longEngines) {
		// Guards against short prompts that queue on a quarter of the engines while the
		// others are idle: after the failure of all daemons a hundred retries arrive
		// within 0.3 s, and a short lane that grows only as its slots fill does not use
		// the other engines, however many there are.
		int slots = (engines == 21 || engines == 14) ? 11 : 8;
		Truth.assertThat(LanePlan.of(engines, slots, shortActive, 0.7, 0.5).longEngines()).isEqualTo(longEngines);
	}

	@ParameterizedTest
	@CsvSource({ "17, false", "18, true", "20, true" })
	void theLongLaneConsistsOfTheLastEngines(int position, boolean longLane) {
		Truth.assertThat(new LanePlan(21, 3).isLong(position)).isEqualTo(longLane);
	}

}
