package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests how soon a daemon detects a change after an outage of the store if no message of
 * a peer arrives in time.
 */
class StoreRecoveryTests {

	/**
	 * The time for which a daemon's calls must have been answered before it counts as in
	 * contact with the store.
	 */
	private static final Duration CONTACT_MARGIN = Duration.ofSeconds(1);

	private final ManualScheduler scheduler = new ManualScheduler();

	/**
	 * Guards against daemons that still wait between retries after the store is available
	 * again.
	 */
	@ParameterizedTest
	@CsvSource({ "2, 9, SILENT, 13000", "2, 9, REFUSED, 13000", "2, 20, SILENT, 4300", "3, 74, SILENT, 13000",
			"3, 74, REFUSED, 13000", "3, 74, SILENT, 7100", "3, 30, REFUSED, 2900" })
	void eachDaemonDetectsAChangeByItselfSoonAfterAnOutage(int withinSeconds, int daemons,
			SimulatedStore.CallOutcome failure, long outageMillis) {
		Duration within = Duration.ofSeconds(withinSeconds);
		SimulatedFleet fleet = new SimulatedFleet(this.scheduler, within);
		fleet.store().change("first");
		fleet.start(daemons);
		this.scheduler.advance(Duration.ofSeconds(10));
		fleet.daemons().forEach((daemon) -> daemon.store().outcome(failure));
		this.scheduler.advance(Duration.ofMillis(outageMillis));
		fleet.daemons().forEach((daemon) -> {
			daemon.store().outcome(SimulatedStore.CallOutcome.WORKS);
			daemon.queueDelay(Duration.ofSeconds(20));
		});
		this.scheduler.advance(CONTACT_MARGIN);
		fleet.store().change("second");
		this.scheduler.advance(within);
		List<Integer> outdated = fleet.daemons()
			.stream()
			.filter((daemon) -> !daemon.knows("second"))
			.map(SimulatedFleet.Daemon::rank)
			.toList();
		Truth.assertThat(outdated).isEmpty();
	}

}
