package org.bramleyscale.internal.gateway.http;

import java.time.Duration;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link TcpLiveness}.
 */
class TcpLivenessTests {

	/**
	 * Guards against the user timeout that ends connections whatever the probes' count.
	 */
	@ParameterizedTest
	@CsvSource({
			// ms: user timeout, idle, interval, silence
			"1500, 1000, 1000, 1000", "2000, 1000, 1000, 1000", "2500, 1000, 1000, 2000", "500, 1000, 1000, 500",
			"5000, 3000, 1000, 2000" })
	void userTimeoutDecidesWhenProbesGiveUp(long userTimeout, long idle, long interval, long silence) {
		TcpLiveness liveness = new TcpLiveness(Duration.ofMillis(userTimeout), Duration.ofMillis(idle),
				Duration.ofMillis(interval));
		Truth.assertThat(liveness.shortestFatalSilence()).isEqualTo(Duration.ofMillis(silence));
	}

	/** Guards against losing the connections of a sound endpoint that is silent. */
	@Test
	void connectionsToEndpointsOutlastTheSilenceOfASoundOne() {
		Truth.assertThat(BackendConnectionPool.LIVENESS.shortestFatalSilence())
			.isGreaterThan(Backend.LONGEST_SOUND_SILENCE);
		Truth.assertThat(BackendConnectionPool.LIVENESS.userTimeout()).isGreaterThan(Backend.LONGEST_SOUND_SILENCE);
	}

}
