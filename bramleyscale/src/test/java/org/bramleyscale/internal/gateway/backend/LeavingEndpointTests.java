package org.bramleyscale.internal.gateway.backend;

import java.time.Duration;
import java.util.Random;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.fleet.GatewayFleet;
import org.bramleyscale.internal.gateway.fleet.SimulatedEndpoint;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that daemons send no requests to endpoints that have announced in an answer that
 * they are leaving, while their entries say otherwise.
 */
class LeavingEndpointTests {

	private static final int ENDPOINTS = 14;

	private static final long LEAVE_TIME = 4_000;

	private static final long END = 30_000;

	/** Guards against learning of a leaving endpoint only from the store's list. */
	@ParameterizedTest
	@CsvSource({ "1, 60, 0, 0, 1", "9, 25, 0, 0, 2", "9, 60, 3000, 0, 3", "9, 60, 0, 700, 4", "9, 60, 1500, 700, 5",
			"24, 120, 0, 1000, 6", "100, 150, 0, 0, 7", "300, 300, 200, 900, 8" })
	void leavingEndpointGetsNothingMoreFromDaemonsThatForwardedItsNotice(int daemons, int callsPerSecond,
			long restartMillis, long relistMillis, long seed) {
		GatewayFleet fleet = new GatewayFleet(daemons, ENDPOINTS, seed);
		SimulatedEndpoint leaving = fleet.endpoint(2);
		fleet.run(END, callsPerSecond, new Random(seed), (now) -> {
			if (now == LEAVE_TIME) {
				leaving.leave();
			}
			if (restartMillis > 0 && now % restartMillis == 0) {
				fleet.restart((int) (now / restartMillis) % daemons);
			}
			if (relistMillis > 0 && now % relistMillis == 0) {
				fleet.lapse(leaving);
				fleet.scheduler.schedule(Duration.ofMillis(relistMillis / 3), () -> fleet.relist(leaving));
			}
		});
		Truth.assertThat(leaving.arrivalsAfterLeaving()).isEqualTo(0);
	}

	/** Guards against daemons that each find out by a request that may be cut off. */
	@ParameterizedTest
	@CsvSource({ "9, 60, 1", "24, 120, 2", "100, 150, 3", "300, 300, 4" })
	void noticeToOneDaemonReachesAll(int daemons, int callsPerSecond, long seed) {
		GatewayFleet fleet = new GatewayFleet(daemons, ENDPOINTS, seed);
		SimulatedEndpoint leaving = fleet.endpoint(2);
		leaving.leave();
		fleet.run(END, callsPerSecond, new Random(seed), (now) -> {
		});
		Truth.assertThat(leaving.arrivalCount(0, 2_000)).isAtLeast(1);
		Truth.assertThat(leaving.arrivalCount(2_000, END)).isEqualTo(0);
	}

	/**
	 * Guards against a daemon that restarts and isn't notified of what the others know.
	 */
	@ParameterizedTest
	@CsvSource({ "9, 60, 1", "100, 150, 2" })
	void restartedDaemonLearnsOfLeavingEndpoint(int daemons, int callsPerSecond, long seed) {
		GatewayFleet fleet = new GatewayFleet(daemons, ENDPOINTS, seed);
		SimulatedEndpoint leaving = fleet.endpoint(2);
		leaving.leave();
		fleet.run(END, callsPerSecond, new Random(seed), (now) -> {
			if (now == LEAVE_TIME) {
				fleet.restart(daemons - 1);
			}
		});
		Truth.assertThat(fleet.daemons.get(daemons - 1).acceptsRequests(leaving)).isFalse();
		Truth.assertThat(leaving.arrivalCount(LEAVE_TIME + 3_000, END)).isEqualTo(0);
	}

}
