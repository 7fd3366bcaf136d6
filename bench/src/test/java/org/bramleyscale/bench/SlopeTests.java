package org.bramleyscale.bench;

import java.util.Map;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/**
 * The line fitted to measured costs.
 */
class SlopeTests {

	private static final double TOLERANCE = 1e-9;

	@Test
	void aLineIsFoundExactly() {
		Slope slope = Slope.of(Map.of(10, 25.0, 20, 45.0, 40, 85.0));
		Truth.assertThat(slope.fixed()).isWithin(TOLERANCE).of(5);
		Truth.assertThat(slope.perUnit()).isWithin(TOLERANCE).of(2);
		Truth.assertThat(slope.fit()).isWithin(TOLERANCE).of(1);
		Truth.assertThat(slope.at(1_700)).isWithin(TOLERANCE).of(3_405);
	}

	@Test
	void costsOffTheLineLowerTheFit() {
		Truth.assertThat(Slope.of(Map.of(1, 1.0, 2, 4.0, 3, 2.0)).fit()).isLessThan(0.5);
	}

	@Test
	void aConstantCostHasNoSlopeAndFitsWhole() {
		Slope slope = Slope.of(Map.of(1, 7.0, 2, 7.0, 3, 7.0));
		Truth.assertThat(slope.perUnit()).isWithin(TOLERANCE).of(0);
		Truth.assertThat(slope.fit()).isEqualTo(1);
	}

	@Test
	void onePointGivesNoSlope() {
		String message = null;
		try {
			Slope.of(Map.of(8, 1.0));
		}
		catch (IllegalArgumentException ex) {
			message = ex.getMessage();
		}
		Truth.assertThat(message).contains("[8]");
	}

}
