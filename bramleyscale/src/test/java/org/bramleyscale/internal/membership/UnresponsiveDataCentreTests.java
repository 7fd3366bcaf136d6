package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests how soon the daemons of a partitioned data centre detect the partition.
 */
class UnresponsiveDataCentreTests {

	private static final Duration CONFIGURATION_STALE_AFTER = Duration.ofSeconds(5);

	/**
	 * Guards against a daemon admitting requests by a configuration that was replaced
	 * more than 5 s ago. A data centre with two daemons loses the connections to the
	 * others and to the platform, and just afterwards the others accept a change. The
	 * failure occurs if the two daemons confirm each other's version and still count the
	 * others as responsive, so that they believe that they are part of a majority.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 2, 20 })
	void partitionIsDetectedBeforeTheConfigurationIsStale(int perDataCentre) {
		Fleet fleet = Fleet.of(perDataCentre, "shah-alam", "rawang", "semenyih");
		List<String> isolated = names(perDataCentre, "rawang");
		List<String> rest = Stream.of("shah-alam", "semenyih")
			.flatMap((dataCentre) -> names(perDataCentre, dataCentre).stream())
			.toList();
		fleet.forEachPair(isolated, rest, fleet.hub::disconnect);
		fleet.advance(CONFIGURATION_STALE_AFTER.minusMillis(500));
		for (String other : rest) {
			Truth.assertThat(fleet.statesSeenBy(isolated, other)).containsExactly(Member.State.SUSPECT);
		}
	}

	private static List<String> names(int count, String dataCentre) {
		return IntStream.range(0, count).mapToObj((index) -> dataCentre + "-" + index).toList();
	}

}
