package org.bramleyscale.internal.admission;

import java.util.Arrays;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

class LimitSplitTests {

	private static final double TOLERANCE = 1e-9;

	@ParameterizedTest
	@MethodSource("splits")
	void satisfiesSmallDemandsFirstAndDistributesTheRemainderEvenly(double[] demands, double[] shares) {
		double[] split = LimitSplit.split(90, demands);
		Truth.assertThat(split).usingTolerance(TOLERANCE).containsExactly(shares).inOrder();
		Truth.assertThat(Arrays.stream(split).sum()).isWithin(TOLERANCE).of(90);
	}

	private static Stream<Arguments> splits() {
		return Stream.of(Arguments.of(new double[] { 0, 0, 0 }, new double[] { 30, 30, 30 }),
				Arguments.of(new double[] { 100, 100, 100 }, new double[] { 30, 30, 30 }),
				Arguments.of(new double[] { 10, 100, 100 }, new double[] { 10, 40, 40 }),
				Arguments.of(new double[] { 10, 20, 30 }, new double[] { 20, 30, 40 }),
				Arguments.of(new double[] { 500 }, new double[] { 90 }));
	}

}
