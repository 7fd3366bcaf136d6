package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.fleet.GatewayFleet;
import org.bramleyscale.internal.gateway.fleet.PathFault;
import org.bramleyscale.internal.gateway.fleet.SimulatedCaller;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests of sequences of crashes after which a part that all prompts have was refused
 * though it crashes nothing.
 */
class WrongfulBlockTests {

	private static final String POPULAR = "popular";

	private static final int ENDPOINTS = 14;

	private static final long SEED = 1;

	private GatewayFleet fleet;

	/** Guards against refusing a part while runs are in flight that clear it. */
	@ParameterizedTest
	@ValueSource(ints = { 1, 3, 9 })
	void answersUnderWayClearAPartBeforeItIsRefused(int daemons) {
		start(daemons, Duration.ofMillis(1_300));
		List<SimulatedCaller> callers = new ArrayList<>();
		for (int i = 0; i < 3 * ENDPOINTS; i++) {
			callers.add(call("first " + i));
		}
		for (int i = 0; i < 7; i++) {
			advance(120);
			this.fleet.crashBusiest();
			callers.add(call("later " + i));
		}
		advance(4_000);
		Truth.assertThat(callers.stream().filter(SimulatedCaller::suspected).count()).isEqualTo(0);
		SimulatedCaller last = call("last");
		advance(2_000);
		Truth.assertThat(last.response()).isEqualTo("200");
	}

	/** Guards against crashes of earlier runs that use up trials which are running. */
	@ParameterizedTest
	@ValueSource(ints = { 1, 3, 9 })
	void trialEndsWithItsOwnRunOnly(int daemons) {
		start(daemons, Duration.ofMillis(1_300));
		for (int i = 0; i < 6; i++) {
			call("run " + i);
		}
		for (int i = 0; i < 6; i++) {
			advance(120);
			this.fleet.crashOneRunning("run " + i);
		}
		breakPathsFor(2_000);
		advance(10_000);
		SimulatedCaller last = call("last");
		advance(2_000);
		Truth.assertThat(last.response()).isEqualTo("200");
	}

	/** Guards against losses of which only the few endpoints count that ran a request. */
	@ParameterizedTest
	@ValueSource(ints = { 1, 3, 9 })
	void lossesOfMostlyIdleEndpointsBlameNothing(int daemons) {
		start(daemons, Duration.ofMillis(1_300));
		for (int loss = 0; loss < 3; loss++) {
			for (int i = 0; i < 3; i++) {
				call("run " + loss + i);
			}
			advance(50);
			for (int i = 0; i < ENDPOINTS - 2; i++) {
				this.fleet.endpoint(0).crash();
			}
			advance(1_000);
			breakPathsFor(500);
			advance(2_000);
		}
		Truth.assertThat(this.fleet.store.all()).isEmpty();
	}

	private void breakPathsFor(long millis) {
		for (PathFault fault : List.of(PathFault.HANGING, PathFault.NONE)) {
			for (int daemon = 0; daemon < this.fleet.daemons.size(); daemon++) {
				this.fleet.setPathFault(daemon, fault);
			}
			advance((fault == PathFault.NONE) ? 0 : millis);
		}
	}

	private void start(int daemons, Duration serviceTime) {
		this.fleet = new GatewayFleet(daemons, ENDPOINTS, SEED);
		this.fleet.serviceTime = serviceTime;
	}

	private SimulatedCaller call(String text) {
		return this.fleet.callWithParts(text, POPULAR, "usual");
	}

	private void advance(long millis) {
		this.fleet.scheduler.advance(Duration.ofMillis(millis));
	}

}
