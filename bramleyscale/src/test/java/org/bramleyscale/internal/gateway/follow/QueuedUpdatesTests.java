package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.List;
import java.util.Random;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of a simulated large fleet whose relays' messages queue for seconds before they
 * are sent.
 *
 * <p>
 * Two relays of one data centre watch the store; two relays of another forward their
 * updates to the daemons there, which are connected to their relays and to some of the
 * others. The store answers all daemons. A change must be in force within
 * {@link #WITHIN}.
 */
class QueuedUpdatesTests {

	private static final Duration WITHIN = Duration.ofSeconds(3);

	private static final int LEAVES = 24;

	/** The number of changes, each at another phase of the periodic checks. */
	private static final int CHANGES = 20;

	private final ManualScheduler scheduler = new ManualScheduler();

	private final SimulatedFleet fleet = new SimulatedFleet(this.scheduler, WITHIN);

	@BeforeEach
	void start() {
		this.fleet.topology(new RelayedTopology(LEAVES));
		this.fleet.store().change("first");
		this.fleet.start(RelayedTopology.RELAYS + LEAVES);
		this.scheduler.advance(Duration.ofSeconds(10));
	}

	@ParameterizedTest
	@CsvSource({
			// queueing delay in ms: of the watching relays, of the forwarding relays
			"4000, 0", "0, 4000", "8000, 0", "0, 8000", "2000, 2000", "1600, 1600" })
	void changeIsInForceInTimeThoughUpdatesQueue(int watcherDelay, int forwarderDelay) {
		// Symptom: a route is unknown three seconds after the store confirmed it, on
		// daemons that could have queried the store at any time. Sequence: a relay's
		// queue grows to some seconds and stays there; the document changes a few times;
		// the daemons behind that relay keep receiving, seconds late, confirmations that
		// nothing is new. Cause: the age that a peer stated was counted from the arrival
		// of the message, at each hop, so copies that had queued for seconds looked fresh
		// and no daemon queried the store. Evidence: the daemons of a whole data centre
		// made no call between the change and the end of the queue; with the queueing
		// delay added to the age they query the store and get the change.
		growQueues(Duration.ofMillis(watcherDelay), Duration.ofMillis(forwarderDelay));
		Random phases = new Random(1);
		for (int change = 1; change <= CHANGES; change++) {
			String name = "change-" + change;
			this.fleet.store().change(name);
			this.scheduler.advance(WITHIN);
			Truth.assertWithMessage("ranks without " + name).that(outdatedRanks(name)).isEmpty();
			this.scheduler.advance(Duration.ofMillis(phases.nextInt(5_000)));
		}
	}

	private List<Integer> outdatedRanks(String name) {
		return this.fleet.daemons()
			.stream()
			.filter((daemon) -> !daemon.knows(name))
			.map(SimulatedFleet.Daemon::rank)
			.toList();
	}

	private void growQueues(Duration watcherDelay, Duration forwarderDelay) {
		int steps = 80;
		for (int step = 1; step <= steps; step++) {
			for (int rank = 0; rank < RelayedTopology.RELAYS; rank++) {
				Duration most = (rank < 2) ? watcherDelay : forwarderDelay;
				this.fleet.daemons().get(rank).queueDelay(most.multipliedBy(step).dividedBy(steps));
			}
			this.scheduler.advance(Duration.ofMillis(250));
		}
	}

}
