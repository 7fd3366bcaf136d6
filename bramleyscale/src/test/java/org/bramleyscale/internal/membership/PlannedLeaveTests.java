package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.List;

import com.google.common.collect.Range;
import com.google.common.truth.Truth;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member.State;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class PlannedLeaveTests {

	private static final String[] DATA_CENTRES = { "rawang", "semenyih", "shah-alam" };

	private static final VmId LEAVER = new VmId("rawang-0");

	/**
	 * Guards against the status listing a daemon as leaving long after its process ended,
	 * following a planned stop of the last daemon of a data centre or of one of two
	 * daemons. This occurs if leaving daemons can't be relays: only relays send
	 * heartbeats to other data centres, so no daemon would expect those of the last one.
	 * It also occurs if a single remaining daemon needs a majority.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 2", "1, 3", "2, 1", "2, 3", "3, 1", "3, 3", "9, 3" })
	void daemonThatLeftAndEndedIsDead(int perDataCentre, int dataCentres) {
		Fleet fleet = leftAndEnded(perDataCentre, dataCentres);
		fleet.advance(Duration.ofSeconds(20));
		Truth.assertThat(fleet.statesOf("rawang-0")).containsExactly(State.DEAD);
		for (Fleet.Daemon daemon : fleet.daemons.values()) {
			Truth.assertThat(daemon.membership.history().endedAfterPlannedStop(LEAVER)).isTrue();
			Truth.assertThat(daemon.membership.expectedDaemonCount()).isEqualTo(perDataCentre * dataCentres - 1);
		}
	}

	@ParameterizedTest
	@CsvSource({ "1, 2", "1, 3", "2, 1", "3, 3" })
	void daemonThatLeftAndRestartsIsAlive(int perDataCentre, int dataCentres) {
		Fleet fleet = leftAndEnded(perDataCentre, dataCentres);
		fleet.advance(Duration.ofSeconds(20));
		fleet.start("rawang-0");
		fleet.advance(Duration.ofSeconds(20));
		Truth.assertThat(fleet.statesOf("rawang-0")).containsExactly(State.ALIVE);
		Truth.assertThat(fleet.allStates()).containsExactly(State.ALIVE);
	}

	/**
	 * Guards against declaring a daemon ended that is still completing its streams, in
	 * which case its callers are told that the outcome of their requests is unknown. The
	 * last daemon of a data centre leaves and is unreachable for a while; the failure
	 * occurs if it can't refute that it is dead.
	 */
	@ParameterizedTest
	@CsvSource({ "6, LEAVING", "30, DEAD" })
	void leavingDaemonIsLeavingAgainAfterAPartition(int seconds, State meanwhile) {
		Fleet fleet = Fleet.of(1, DATA_CENTRES);
		fleet.daemon("rawang-0").membership.leave();
		fleet.advance(Duration.ofSeconds(5));
		List<String> others = List.of("semenyih-0", "shah-alam-0");
		fleet.forEachPair(List.of("rawang-0"), others, fleet.hub::disconnect);
		fleet.advance(Duration.ofSeconds(seconds));
		Truth.assertThat(fleet.statesSeenBy(others, "rawang-0")).containsExactly(meanwhile);
		fleet.forEachPair(List.of("rawang-0"), others, fleet.hub::heal);
		fleet.advance(Duration.ofSeconds(20));
		Truth.assertThat(fleet.statesOf("rawang-0")).containsExactly(State.LEAVING);
	}

	@Test
	void unresponsiveTimeOfAKilledDaemonGrows() {
		Fleet fleet = Fleet.of(3, DATA_CENTRES);
		Truth.assertThat(unresponsiveFor(fleet)).isEqualTo(Duration.ZERO);
		fleet.kill("rawang-0");
		fleet.advance(Duration.ofSeconds(200));
		Truth.assertThat(unresponsiveFor(fleet)).isIn(Range.closed(Duration.ofSeconds(198), Duration.ofSeconds(200)));
		Truth.assertThat(fleet.daemon("semenyih-0").membership.history().endedAfterPlannedStop(LEAVER)).isFalse();
	}

	private static Duration unresponsiveFor(Fleet fleet) {
		return fleet.daemon("semenyih-0").membership.history().unresponsiveFor(LEAVER);
	}

	private static Fleet leftAndEnded(int perDataCentre, int dataCentres) {
		Fleet fleet = Fleet.of(perDataCentre, List.of(DATA_CENTRES).subList(0, dataCentres).toArray(String[]::new));
		fleet.daemon("rawang-0").membership.leave();
		fleet.advance(Duration.ofSeconds(20));
		Truth.assertThat(fleet.statesOf("rawang-0")).containsExactly(State.LEAVING);
		fleet.kill("rawang-0");
		return fleet;
	}

}
