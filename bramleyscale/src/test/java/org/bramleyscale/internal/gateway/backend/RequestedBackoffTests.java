package org.bramleyscale.internal.gateway.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.fleet.GatewayFleet;
import org.bramleyscale.internal.gateway.fleet.SimulatedCaller;
import org.bramleyscale.internal.gateway.fleet.SimulatedEndpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that daemons respect the back-off that endpoints request when they reject
 * requests.
 */
class RequestedBackoffTests {

	private static final int ENDPOINTS = 14;

	private static final long BACKOFF_START = 4_000;

	private static final long BACKOFF_END = 14_000;

	private static final long END = 30_000;

	/** Guards against a back-off that is shorter than the endpoint requested. */
	@ParameterizedTest
	@CsvSource({ "1, 60, 1, 3000, 0, 1", "9, 60, 2, 3000, 0, 2", "9, 120, 3, 800, 0, 3", "9, 120, 13, 3000, 0, 4",
			"9, 120, 14, 3000, 0, 5", "24, 150, 2, 6500, 0, 6", "9, 60, 2, 3000, 3000, 7", "100, 300, 4, 20000, 0, 8",
			"300, 600, 14, 9000, 200, 9" })
	void endpointThatAskedForBackoffIsNotSentRequests(int daemons, int callsPerSecond, int rejecting,
			long backoffMillis, long restartMillis, long seed) {
		GatewayFleet fleet = new GatewayFleet(daemons, ENDPOINTS, seed);
		List<SimulatedEndpoint> endpoints = new ArrayList<>();
		for (int i = 0; i < rejecting; i++) {
			endpoints.add(fleet.endpoint(i));
		}
		run(fleet, callsPerSecond, endpoints, Duration.ofMillis(backoffMillis), restartMillis, seed);
		Truth.assertThat(endpoints.stream().mapToInt(SimulatedEndpoint::daemonsAskedToBackOff).sum()).isGreaterThan(0);
		Truth.assertThat(endpoints.stream().mapToInt(SimulatedEndpoint::violatedBackoffs).sum()).isEqualTo(0);
	}

	/**
	 * Guards against callers that wait, or retry too early, while all endpoints have
	 * requested a back-off.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 30, 1", "9, 120, 2" })
	void callersGetRetryAfterAtOnceWhenAllEndpointsBackOff(int daemons, int callsPerSecond, long seed) {
		GatewayFleet fleet = new GatewayFleet(daemons, ENDPOINTS, seed);
		List<SimulatedEndpoint> all = new ArrayList<>();
		for (int i = 0; i < ENDPOINTS; i++) {
			all.add(fleet.endpoint(i));
		}
		run(fleet, callsPerSecond, all, Duration.ofSeconds(60), 0, seed);
		SimulatedCaller caller = fleet.call(0, "late");
		Truth.assertThat(caller.response()).isEqualTo("own 503");
		Truth.assertThat(caller.retryAfter()).isAtLeast(Duration.ofSeconds(25));
		Truth.assertThat(caller.retryAfter()).isAtMost(Duration.ofSeconds(60));
	}

	/** Guards against endpoints that are not used again after their back-off. */
	@ParameterizedTest
	@CsvSource({ "1, 60, 1", "9, 120, 2" })
	void endpointIsUsedAgainAfterItsBackoff(int daemons, int callsPerSecond, long seed) {
		GatewayFleet fleet = new GatewayFleet(daemons, ENDPOINTS, seed);
		SimulatedEndpoint endpoint = fleet.endpoint(2);
		run(fleet, callsPerSecond, List.of(endpoint), Duration.ofSeconds(3), 0, seed);
		Truth.assertThat(endpoint.violatedBackoffs()).isEqualTo(0);
		Truth.assertThat(endpoint.arrivalCount(BACKOFF_END + 3_500, END)).isAtLeast(5);
	}

	private static void run(GatewayFleet fleet, int callsPerSecond, List<SimulatedEndpoint> endpoints, Duration backoff,
			long restartMillis, long seed) {
		fleet.run(END, callsPerSecond, new Random(seed), (now) -> {
			if (now == BACKOFF_START || now == BACKOFF_END) {
				Optional<Duration> requested = (now == BACKOFF_START) ? Optional.of(backoff) : Optional.empty();
				endpoints.forEach((endpoint) -> endpoint.turnAway(requested));
			}
			if (restartMillis > 0 && now % restartMillis == 0) {
				fleet.restart((int) (now / restartMillis) % fleet.daemons.size());
			}
		});
	}

}
