package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * How soon a data centre notices that it is alone.
 */
class SilentDataCentreTests {

	private static final Duration CONFIGURATION_STALE_AFTER = Duration.ofSeconds(5);

	/**
	 * Symptom: a daemon admits requests by a configuration that was replaced more than 5
	 * s ago. Sequence: a data centre with two daemons loses the others and the platform;
	 * just after that a change is accepted by the others. Cause: the two confirm each
	 * other's version and still count the others as answering, so that they believe to
	 * speak for a majority.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 2, 20 })
	void thoseCutOffNoticeBeforeTheirConfigurationIsStale(int perDataCentre) {
		Fleet fleet = Fleet.of(perDataCentre, "shah-alam", "rawang", "semenyih");
		List<String> lost = names(perDataCentre, "rawang");
		List<String> rest = Stream.of("shah-alam", "semenyih")
			.flatMap((dataCentre) -> names(perDataCentre, dataCentre).stream())
			.toList();
		fleet.between(lost, rest, fleet.hub::cut);
		fleet.advance(CONFIGURATION_STALE_AFTER.minusMillis(500));
		for (String other : rest) {
			Truth.assertThat(fleet.seenBy(lost, other)).containsExactly(Member.State.SUSPECT);
		}
	}

	private static List<String> names(int count, String dataCentre) {
		return IntStream.range(0, count).mapToObj((index) -> dataCentre + "-" + index).toList();
	}

}
