package org.bramleyscale.bench.capacity;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.google.common.truth.Truth;
import org.bramleyscale.internal.node.NodeSlices;
import org.junit.jupiter.api.Test;

/**
 * The fleet whose costs are measured: it must do real work, and the same work each time.
 */
class SliceFleetTests {

	private static final FleetSize SIZE = FleetSize.inProportion(2, 2);

	@Test
	void everyRequestIsCompleted() {
		SliceFleet fleet = SliceFleet.start(SIZE, 1, false);
		fleet.load(5, Duration.ofSeconds(10));
		fleet.send(0, false);
		fleet.advance(Duration.ofSeconds(5));
		Truth.assertThat(fleet.counts().started()).isEqualTo(201);
		Truth.assertThat(fleet.counts().missing()).isEqualTo(0);
	}

	@Test
	void aChangeIsInForceEverywhereSoon() {
		SliceFleet fleet = SliceFleet.start(SIZE, 1, false);
		Truth.assertThat(fleet.change()).isAtMost(Duration.ofSeconds(1));
	}

	@Test
	void configurationPassesBetweenTheDaemonsThatMembershipConnects() throws Exception {
		// Symptom: in a large fleet a change crosses to other data centres late, over
		// connections opened for it. Sequence: a change is made. Cause: configuration and
		// membership each choose relays by a key of their own, and only membership's keep
		// connections between data centres.
		SliceFleet fleet = SliceFleet.start(FleetSize.inProportion(3, 8), 1, false);
		ObjectMapper mapper = new ObjectMapper();
		for (NodeSlices daemon : fleet.daemons()) {
			JsonNode membership = mapper.valueToTree(daemon.membership().dump());
			Truth.assertThat(daemon.configuration().dump().relay()).isEqualTo(membership.path("relay").booleanValue());
		}
	}

	@Test
	void theSameSeedGivesTheSameBytesAndPlatformCalls() {
		SliceFleet first = run(7);
		SliceFleet second = run(7);
		Truth.assertThat(second.bytesSent()).isEqualTo(first.bytesSent());
		Truth.assertThat(second.platformCalls()).isEqualTo(first.platformCalls());
	}

	@Test
	void theCensusCountsEveryByteOnTheWire() {
		SliceFleet fleet = SliceFleet.start(SIZE, 1, true);
		fleet.load(5, Duration.ofSeconds(5));
		long counted = fleet.census().counts().values().stream().mapToLong(MessageCensus.Count::bytes).sum();
		Truth.assertThat(counted).isEqualTo(fleet.bytesSent().stream().mapToLong(Long::longValue).sum());
	}

	private static SliceFleet run(long seed) {
		SliceFleet fleet = SliceFleet.start(SIZE, seed, false);
		fleet.load(5, Duration.ofSeconds(10));
		return fleet;
	}

}
