package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;

/**
 * Demands, grants and permits of several daemons.
 */
class GrantsTests {

	private static final Duration LOAD_DURATION = Duration.ofSeconds(2);

	@Test
	void firstRequestStartsBeforeAnyGrantArrived() {
		EndpointFleet fleet = new EndpointFleet(3, "e1");
		EndpointFleet.Daemon entry = fleet.daemon("vm-1");
		Truth.assertThat(entry.availableSlots("e1")).isEqualTo(1);
		Truth.assertThat(entry.tryAcquire("e1", 1_000)).isTrue();
		Truth.assertThat(entry.tryAcquire("e1", 1_000)).isFalse();
	}

	@Test
	void secondRequestStartsAfterOneRoundTripToTheOwner() {
		EndpointFleet fleet = new EndpointFleet(3, "e1");
		EndpointFleet.Daemon entry = fleet.daemon("vm-1");
		List<String> events = new ArrayList<>();
		entry.pool.onCapacityAvailable(() -> events.add("room"));
		entry.tryAcquire("e1", 1_000);
		entry.tryAcquire("e1", 1_000);
		fleet.advance(Duration.ofMillis(25));
		Truth.assertThat(events).isNotEmpty();
		Truth.assertThat(entry.tryAcquire("e1", 1_000)).isTrue();
	}

	@Test
	void oneBusyEntryGetsNearlyAllAndASecondOneItsFairShare() {
		EndpointFleet fleet = new EndpointFleet(3, "e1");
		List<Permit> first = load(fleet, "vm-1", 40);
		Truth.assertThat(first.size()).isAtLeast(14);
		EndpointFleet.Daemon second = fleet.daemon("vm-2");
		second.tryAcquire("e1", 10);
		for (int i = 0; i < 100; i++) {
			second.tryAcquire("e1", 10);
			fleet.advance(Duration.ofMillis(10));
			if (i % 5 == 0 && !first.isEmpty()) {
				first.remove(0).close();
				fleet.daemon("vm-1").pool.acquire(EndpointFleet.id("e1"), 10, 10).ifPresent(first::add);
			}
		}
		Truth.assertThat(first.size()).isAtMost(9);
	}

	@Test
	void entriesWithoutAGrantAddAtMostOneRequestEachToAFullEndpoint() {
		EndpointFleet fleet = new EndpointFleet(3, "e1");
		int inFlight = 0;
		for (EndpointFleet.Daemon daemon : fleet.daemons()) {
			inFlight += load(fleet, daemon.incarnation.vm().value(), 40).size();
		}
		int entriesWithoutGrant = 2;
		Truth.assertThat(inFlight).isAtLeast(16);
		Truth.assertThat(inFlight).isAtMost(16 + entriesWithoutGrant);
	}

	private static List<Permit> load(EndpointFleet fleet, String vm, int attempts) {
		List<Permit> permits = new ArrayList<>();
		for (int i = 0; i < attempts; i++) {
			Optional<Permit> permit = fleet.daemon(vm).pool.acquire(EndpointFleet.id("e1"), 10, 10);
			permit.ifPresent(permits::add);
			fleet.advance(LOAD_DURATION.dividedBy(attempts));
		}
		return permits;
	}

}
