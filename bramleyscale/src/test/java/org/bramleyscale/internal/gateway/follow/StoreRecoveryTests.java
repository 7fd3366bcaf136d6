package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of what a daemon knows after an outage of the store if nobody tells it anything
 * in time.
 */
class StoreRecoveryTests {

	/** Daemons that could call a store which answers for so long are in touch with it. */
	private static final Duration CONTACT_MARGIN = Duration.ofSeconds(1);

	private final ManualScheduler scheduler = new ManualScheduler();

	/** Guards against daemons that go on pausing after the store is back. */
	@ParameterizedTest
	@CsvSource({ "2, 9, SILENT, 13000", "2, 9, REFUSED, 13000", "2, 20, SILENT, 4300", "3, 74, SILENT, 13000",
			"3, 74, REFUSED, 13000", "3, 74, SILENT, 7100", "3, 30, REFUSED, 2900" })
	void eachDaemonHearsOfAChangeByItselfSoonAfterAnOutage(int withinSeconds, int daemons, SimulatedStore.Link away,
			long outageMillis) {
		Duration within = Duration.ofSeconds(withinSeconds);
		SimulatedFleet fleet = new SimulatedFleet(this.scheduler, within);
		fleet.store().change("first");
		fleet.start(daemons);
		this.scheduler.advance(Duration.ofSeconds(10));
		fleet.daemons().forEach((daemon) -> daemon.store().link(away));
		this.scheduler.advance(Duration.ofMillis(outageMillis));
		fleet.daemons().forEach((daemon) -> {
			daemon.store().link(SimulatedStore.Link.WORKS);
			daemon.queueDelay(Duration.ofSeconds(20));
		});
		this.scheduler.advance(CONTACT_MARGIN);
		fleet.store().change("second");
		this.scheduler.advance(within);
		List<Integer> unaware = fleet.daemons()
			.stream()
			.filter((daemon) -> !daemon.knows("second"))
			.map(SimulatedFleet.Daemon::rank)
			.toList();
		Truth.assertThat(unaware).isEmpty();
	}

}
