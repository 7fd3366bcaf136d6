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
 * Plays a large fleet whose relays' messages wait for seconds before they leave.
 *
 * <p>
 * Two relays of one data centre watch the store; two relays of another pass on what they
 * tell to the daemons there, which know each other and their relays. The store answers
 * everybody. A change must be in force within {@link #WITHIN}.
 */
class QueuedUpdatesTests {

	private static final Duration WITHIN = Duration.ofSeconds(3);

	private static final int LEAVES = 24;

	/** Each comes at another moment between the daemons' checks. */
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
			// ms that wait: what the watching relays send, what the passing ones send
			"4000, 0", "0, 4000", "8000, 0", "0, 8000", "2000, 2000", "1600, 1600" })
	void aChangeIsInForceInTimeThoughNewsQueue(int watching, int passing) {
		// Symptom: a route is unknown three seconds after the store confirmed it, on
		// daemons that could have asked the store at any time. Sequence: a relay's queue
		// grows to some seconds and stays there; the document changes a few times; the
		// daemons behind that relay go
		// on hearing, seconds late, that nothing is new. Cause: what a peer said of the
		// age of its news counted from the arrival of the message, at each hop, so news
		// that had waited for seconds looked fresh and nobody asked the store. Evidence:
		// the daemons of a whole data centre made no call between the change and the end
		// of the queue; with the time waited in the age they ask and have the change.
		queueGrowsTo(Duration.ofMillis(watching), Duration.ofMillis(passing));
		Random phases = new Random(1);
		for (int change = 1; change <= CHANGES; change++) {
			String name = "change-" + change;
			this.fleet.store().change(name);
			this.scheduler.advance(WITHIN);
			Truth.assertWithMessage("ranks without " + name).that(ranksWithout(name)).isEmpty();
			this.scheduler.advance(Duration.ofMillis(phases.nextInt(5_000)));
		}
	}

	private List<Integer> ranksWithout(String name) {
		return this.fleet.daemons()
			.stream()
			.filter((daemon) -> !daemon.knows(name))
			.map(SimulatedFleet.Daemon::rank)
			.toList();
	}

	private void queueGrowsTo(Duration watching, Duration passing) {
		int steps = 80;
		for (int step = 1; step <= steps; step++) {
			for (int rank = 0; rank < RelayedTopology.RELAYS; rank++) {
				Duration most = (rank < 2) ? watching : passing;
				this.fleet.daemons().get(rank).queueDelay(most.multipliedBy(step).dividedBy(steps));
			}
			this.scheduler.advance(Duration.ofMillis(250));
		}
	}

}
