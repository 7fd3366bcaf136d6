package org.bramleyscale.internal.configuration;

import java.util.stream.IntStream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.platform.ObjectStore;
import org.junit.jupiter.api.Test;

/**
 * Tests that the sizes planned for fit into the platform's objects.
 */
class ConfigurationFootprintTests {

	private static final int ACCOUNTS = 13_000;

	private static final int ENDPOINTS = 12_000;

	@Test
	void theTargetSizeFitsIntoThePlatformsObjects() {
		Rules rules = Samples.rules(IntStream.range(0, ACCOUNTS).toArray());
		ConfigurationFootprint footprint = ConfigurationFootprint.of(Samples.register(ENDPOINTS), rules);
		Truth.assertThat(footprint.largestPartBytes()).isLessThan(ObjectStore.MAX_VALUE_BYTES / 20);
		Truth.assertThat(footprint.headBytes()).isLessThan(ObjectStore.MAX_VALUE_BYTES / 20);
		Truth.assertThat(footprint.changeBytes()).isLessThan(256);
		Truth.assertThat(footprint.entries()).isEqualTo(ACCOUNTS + ENDPOINTS + 4);
	}

}
