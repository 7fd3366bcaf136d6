package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests with a store that comes back from an older copy of itself, so that what was
 * written since is lost and its revisions are given out again.
 */
@Timeout(60)
class RestoredStoreTests {

	private static final Duration WITHIN = Duration.ofSeconds(2);

	private static final Duration AWAY = Duration.ofSeconds(1);

	private static final Duration OBSERVED = Duration.ofSeconds(10);

	/** A list and some watches for each daemon, beyond what a quiet time costs. */
	private static final int MAX_EXTRA_CALLS = 6;

	private final ManualScheduler scheduler = new ManualScheduler();

	private final SimulatedFleet fleet = new SimulatedFleet(this.scheduler, WITHIN);

	/** Guards against daemons that ignore a store whose revisions went back. */
	@ParameterizedTest
	@CsvSource({ "2, 500", "2, 2500", "9, 500", "9, 2500", "9, 8000", "80, 2500", "80, 8000" })
	void changesAfterTheStoreWentBackAreInForceInTime(int daemons, long lostMillis) {
		start(daemons);
		SimulatedStore.Backup backup = this.fleet.store().backup();
		writeFor(Duration.ofMillis(lostMillis), "lost");
		comeBackFrom(backup);
		this.scheduler.advance(Duration.ofMillis(1_500));
		this.fleet.store().change("after");
		this.scheduler.advance(WITHIN);
		Truth.assertThat(ranksThatDoNotKnow("after")).isEmpty();
	}

	/**
	 * Guards against copies that count as fresh although the store's lists are ignored.
	 */
	@ParameterizedTest
	@CsvSource({ "2", "9", "80" })
	void whatTheOlderCopyLacksIsGoneUnlessItIsWrittenAgain(int daemons) {
		start(daemons);
		SimulatedStore.Backup backup = this.fleet.store().backup();
		this.fleet.store().change("never-again");
		this.fleet.store().change("again");
		this.fleet.store().delete("first");
		this.scheduler.advance(WITHIN);
		comeBackFrom(backup);
		this.fleet.store().change("again");
		this.scheduler.advance(WITHIN);
		Truth.assertThat(ranksThatDoNotKnow("again")).isEmpty();
		Truth.assertThat(ranksThatDoNotKnow("first")).isEmpty();
		Truth.assertThat(ranksThatDoNotKnow("never-again")).hasSize(daemons);
	}

	/**
	 * Guards against endpoints that are dropped before they can have registered again.
	 */
	@ParameterizedTest
	@CsvSource({ "2, 0", "9, 0", "80, 0", "2, 1000", "9, 1000", "80, 1000" })
	void entriesThatTheOlderCopyLacksHaveTheirTimeToReturn(int daemons, long awayMillis) {
		start(daemons);
		SimulatedStore.Backup backup = this.fleet.store().backup();
		this.fleet.store().change("lost");
		this.scheduler.advance(WITHIN);
		comeBackFrom(backup, Duration.ofMillis(awayMillis));
		long dueAt = this.scheduler.nanos() + BackendTable.LAPSE_GRACE_PERIOD.toNanos();
		this.scheduler.advance(WITHIN);
		Truth.assertThat(ranksThatDoNotKnow("lost")).hasSize(daemons);
		Truth.assertThat(this.fleet.daemons().stream().filter((daemon) -> daemon.usedUntil("lost") < dueAt).toList())
			.isEmpty();
	}

	/** Guards against a fleet that lists and watches in a loop. */
	@ParameterizedTest
	@CsvSource({ "2", "9", "80" })
	void aStoreThatWentBackCostsFewCalls(int daemons) {
		start(daemons);
		int before = this.fleet.store().calls();
		this.scheduler.advance(OBSERVED);
		int quiet = this.fleet.store().calls() - before;
		SimulatedStore.Backup backup = this.fleet.store().backup();
		writeFor(Duration.ofMillis(2_500), "lost");
		comeBackFrom(backup);
		before = this.fleet.store().calls();
		this.scheduler.advance(OBSERVED);
		Truth.assertThat(this.fleet.store().calls() - before).isAtMost(quiet + MAX_EXTRA_CALLS * daemons);
	}

	/** Guards against daemons that stay with the copies of the first time. */
	@ParameterizedTest
	@CsvSource({ "2, 100", "9, 100", "9, 900", "80, 900" })
	void storeMayGoBackTwiceWithinASecond(int daemons, long betweenMillis) {
		start(daemons);
		SimulatedStore.Backup backup = this.fleet.store().backup();
		writeFor(Duration.ofMillis(2_500), "lost");
		comeBackFrom(backup);
		this.fleet.store().change("between");
		this.scheduler.advance(Duration.ofMillis(betweenMillis));
		this.fleet.store().restore(backup);
		this.scheduler.advance(Duration.ofMillis(1_500));
		this.fleet.store().change("after");
		this.scheduler.advance(WITHIN);
		Truth.assertThat(ranksThatDoNotKnow("after")).isEmpty();
		Truth.assertThat(ranksThatDoNotKnow("between")).hasSize(daemons);
	}

	/** Guards against a suspended daemon that brings back what the store has lost. */
	@ParameterizedTest
	@CsvSource({ "9, 0", "9, 1", "9, 8", "80, 0", "80, 79" })
	void daemonThatWasSuspendedMeanwhileBringsNothingBack(int daemons, int rank) {
		start(daemons);
		SimulatedStore.Backup backup = this.fleet.store().backup();
		writeFor(Duration.ofMillis(1_000), "lost");
		this.fleet.daemons().get(rank).freeze(Duration.ofSeconds(5));
		comeBackFrom(backup);
		this.fleet.store().change("again");
		this.scheduler.advance(Duration.ofSeconds(5).plus(WITHIN));
		Truth.assertThat(ranksThatDoNotKnow("again")).isEmpty();
		Truth.assertThat(ranksThatDoNotKnow("lost-1")).hasSize(daemons);
	}

	private void start(int daemons) {
		if (daemons > RelayedTopology.RELAYS) {
			this.fleet.topology(new RelayedTopology(daemons - RelayedTopology.RELAYS));
		}
		this.fleet.store().change("first");
		this.fleet.start(daemons);
		writeFor(OBSERVED, "kept");
	}

	private void writeFor(Duration time, String name) {
		Duration pause = Duration.ofMillis(300);
		for (int i = 1; i <= time.dividedBy(pause); i++) {
			this.fleet.store().change(name + "-" + i);
			this.scheduler.advance(pause);
		}
	}

	private void comeBackFrom(SimulatedStore.Backup backup) {
		comeBackFrom(backup, AWAY);
	}

	private void comeBackFrom(SimulatedStore.Backup backup, Duration away) {
		this.fleet.daemons().forEach((daemon) -> daemon.store().outcome(SimulatedStore.CallOutcome.REFUSED));
		this.scheduler.advance(away);
		this.fleet.store().restore(backup);
		this.fleet.daemons().forEach((daemon) -> daemon.store().outcome(SimulatedStore.CallOutcome.WORKS));
	}

	private List<Integer> ranksThatDoNotKnow(String name) {
		return this.fleet.daemons()
			.stream()
			.filter((daemon) -> !daemon.knows(name))
			.map(SimulatedFleet.Daemon::rank)
			.toList();
	}

}
