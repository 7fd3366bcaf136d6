package org.bramleyscale.internal.gateway.limit;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.Random;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.fleet.GatewayFleet;
import org.bramleyscale.internal.gateway.fleet.SimulatedCaller;
import org.bramleyscale.internal.gateway.fleet.SimulatedEndpoint;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that daemons together respect the limits that endpoints name.
 */
class NamedLimitTests {

	private static final int ENDPOINTS = 14;

	private static final long LIMIT_START = 8_000;

	private static final long END = 40_000;

	/** The time span over which requests are counted. */
	private static final Duration SPAN = Duration.ofSeconds(4);

	private int calls;

	/** Guards against daemons that apply a limit individually, or not at all. */
	@ParameterizedTest
	@CsvSource({ "1, 1, 60, 0, 1", "9, 1, 25, 0, 2", "9, 1, 60, 3000, 3", "9, 0.3, 60, 1000, 4", "9, 8, 150, 3000, 5",
			"24, 2.5, 120, 500, 6", "100, 1, 150, 0, 7", "100, 1, 150, 200, 8", "300, 1, 150, 100, 9" })
	void limitHoldsForAllDaemonsTogether(int daemons, double limit, int callsPerSecond, long restartMillis, long seed) {
		GatewayFleet fleet = new GatewayFleet(daemons, ENDPOINTS, seed);
		Random random = new Random(seed);
		List<SimulatedEndpoint> limited = new ArrayList<>();
		for (long millis = 0; millis < END; millis += 20) {
			if (millis == LIMIT_START) {
				limited.add(fleet.limit(2, OptionalDouble.of(limit)));
				limited.add(fleet.limit(9, OptionalDouble.of(limit)));
			}
			call(fleet, random, callsPerSecond);
			if (restartMillis > 0 && millis % restartMillis == 0) {
				fleet.restart((int) (millis / restartMillis) % daemons);
			}
			fleet.scheduler.advance(Duration.ofMillis(20));
		}
		double allowed = 1.5 * limit * SPAN.toSeconds() + 5;
		long from = LIMIT_START + GatewayFleet.SETTLING_TIME.toMillis();
		limited.forEach(
				(endpoint) -> Truth.assertThat(endpoint.maxRequestsInSpan(from, END, SPAN)).isAtMost((int) allowed));
	}

	/**
	 * Guards against endpoints that are not used again once they no longer name a limit.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 1", "9, 2", "100, 3" })
	void endpointIsUsedAgainOnceItNamesNoLimit(int daemons, long seed) {
		GatewayFleet fleet = new GatewayFleet(daemons, ENDPOINTS, seed);
		Random random = new Random(seed);
		SimulatedEndpoint limited = fleet.limit(2, OptionalDouble.of(1));
		long limitEnd = 20_000;
		for (long millis = 0; millis < 60_000; millis += 20) {
			if (millis == limitEnd) {
				fleet.limit(2, OptionalDouble.empty());
			}
			call(fleet, random, 60);
			fleet.scheduler.advance(Duration.ofMillis(20));
		}
		Truth.assertThat(limited.arrivalCount(10_000, limitEnd)).isAtMost(10);
		Truth.assertThat(limited.arrivalCount(limitEnd + 32_000, 60_000)).isAtLeast(8);
	}

	/**
	 * Guards against lost or waiting requests while every endpoint names a limit.
	 */
	@Test
	void requestsAboveAllLimitsAreRefusedAtOnceAndOthersServed() {
		GatewayFleet fleet = new GatewayFleet(9, ENDPOINTS, 1);
		Random random = new Random(1);
		List<SimulatedCaller> callers = new ArrayList<>();
		for (int i = 0; i < ENDPOINTS; i++) {
			fleet.limit(i, OptionalDouble.of(2));
		}
		for (long millis = 0; millis < 30_000; millis += 20) {
			callers.addAll(call(fleet, random, 60));
			fleet.scheduler.advance(Duration.ofMillis(20));
		}
		fleet.scheduler.advance(Duration.ofSeconds(2));
		long served = callers.stream().filter((caller) -> caller.response().equals("200")).count();
		long refused = callers.stream().filter((caller) -> caller.response().equals("own 503")).count();
		Truth.assertThat(served + refused).isEqualTo(callers.size());
		Truth.assertThat(served).isAtLeast(ENDPOINTS * 2 * 30 / 3);
		callers.stream()
			.filter((caller) -> caller.response().equals("own 503"))
			.forEach((caller) -> Truth.assertThat(caller.retryAfter()).isGreaterThan(Duration.ZERO));
	}

	private List<SimulatedCaller> call(GatewayFleet fleet, Random random, int callsPerSecond) {
		List<SimulatedCaller> callers = new ArrayList<>();
		for (int i = 0; i < callsPerSecond; i++) {
			if (random.nextInt(50) == 0) {
				callers.add(fleet.call("request " + ++this.calls));
			}
		}
		return callers;
	}

}
