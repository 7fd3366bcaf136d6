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

	private static final String[] THREE = { "rawang", "semenyih", "shah-alam" };

	private static final VmId LEAVER = new VmId("rawang-0");

	/**
	 * Symptom: the status lists a daemon as leaving long after its process ended.
	 * Sequence: a planned stop, then the end, of the last daemon of a data centre or of
	 * one of two daemons. Cause: only relays speak for a data centre and leaving daemons
	 * were none, so nobody expected to hear the last one; and one daemon alone never had
	 * a majority.
	 */
	@ParameterizedTest
	@CsvSource({ "1, 2", "1, 3", "2, 1", "2, 3", "3, 1", "3, 3", "9, 3" })
	void aDaemonThatLeftAndEndedIsDead(int perDataCentre, int dataCentres) {
		Fleet fleet = leftAndEnded(perDataCentre, dataCentres);
		fleet.advance(Duration.ofSeconds(20));
		Truth.assertThat(fleet.seen("rawang-0")).containsExactly(State.DEAD);
		for (Fleet.Daemon daemon : fleet.daemons.values()) {
			Truth.assertThat(daemon.membership.history().endedByPlan(LEAVER)).isTrue();
			Truth.assertThat(daemon.membership.expected()).isEqualTo(perDataCentre * dataCentres - 1);
		}
	}

	@ParameterizedTest
	@CsvSource({ "1, 2", "1, 3", "2, 1", "3, 3" })
	void aDaemonThatLeftAndStartsAgainIsAlive(int perDataCentre, int dataCentres) {
		Fleet fleet = leftAndEnded(perDataCentre, dataCentres);
		fleet.advance(Duration.ofSeconds(20));
		fleet.start("rawang-0");
		fleet.advance(Duration.ofSeconds(20));
		Truth.assertThat(fleet.seen("rawang-0")).containsExactly(State.ALIVE);
		Truth.assertThat(fleet.allStates()).containsExactly(State.ALIVE);
	}

	/**
	 * Symptom: a daemon that is finishing its streams is taken for ended, and its callers
	 * are told that nobody knows what became of them. Sequence: the last daemon of a data
	 * centre leaves and is out of reach for a while. Cause: a verdict that it couldn't
	 * take back.
	 */
	@ParameterizedTest
	@CsvSource({ "6, LEAVING", "30, DEAD" })
	void aLeavingDaemonThatWasOutOfReachIsLeavingAgain(int seconds, State meanwhile) {
		Fleet fleet = Fleet.of(1, THREE);
		fleet.daemon("rawang-0").membership.leave();
		fleet.advance(Duration.ofSeconds(5));
		List<String> others = List.of("semenyih-0", "shah-alam-0");
		fleet.between(List.of("rawang-0"), others, fleet.hub::cut);
		fleet.advance(Duration.ofSeconds(seconds));
		Truth.assertThat(fleet.seenBy(others, "rawang-0")).containsExactly(meanwhile);
		fleet.between(List.of("rawang-0"), others, fleet.hub::heal);
		fleet.advance(Duration.ofSeconds(20));
		Truth.assertThat(fleet.seen("rawang-0")).containsExactly(State.LEAVING);
	}

	@Test
	void theSilenceOfAKilledDaemonGrows() {
		Fleet fleet = Fleet.of(3, THREE);
		Truth.assertThat(silence(fleet)).isEqualTo(Duration.ZERO);
		fleet.kill("rawang-0");
		fleet.advance(Duration.ofSeconds(200));
		Truth.assertThat(silence(fleet)).isIn(Range.closed(Duration.ofSeconds(198), Duration.ofSeconds(200)));
		Truth.assertThat(fleet.daemon("semenyih-0").membership.history().endedByPlan(LEAVER)).isFalse();
	}

	private static Duration silence(Fleet fleet) {
		return fleet.daemon("semenyih-0").membership.history().silence(LEAVER);
	}

	private static Fleet leftAndEnded(int perDataCentre, int dataCentres) {
		Fleet fleet = Fleet.of(perDataCentre, List.of(THREE).subList(0, dataCentres).toArray(String[]::new));
		fleet.daemon("rawang-0").membership.leave();
		fleet.advance(Duration.ofSeconds(20));
		Truth.assertThat(fleet.seen("rawang-0")).containsExactly(State.LEAVING);
		fleet.kill("rawang-0");
		return fleet;
	}

}
