package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests of a simulated fleet of daemons that follow one store: how soon a change is known
 * on all of them, and how many calls it costs.
 *
 * <p>
 * The daemons are in the order of their ranks and connected in a full mesh. A change must
 * be in force within {@link #WITHIN}.
 */
class FollowFleetTests {

	private static final Duration WITHIN = Duration.ofSeconds(2);

	private static final int DAEMONS = 20;

	private final ManualScheduler scheduler = new ManualScheduler();

	private final SimulatedFleet fleet = new SimulatedFleet(this.scheduler, WITHIN);

	@BeforeEach
	void start() {
		this.fleet.store().change("first");
		this.fleet.start(DAEMONS);
		this.scheduler.advance(Duration.ofSeconds(10));
	}

	@Test
	void minuteWithoutChangesCostsFewCallsWhateverTheNumberOfDaemons() {
		// Symptom: 21 calls per daemon and kind in 53 s without a change. Cause: every
		// daemon watched, and each watch was short so that a silent connection was
		// detected.
		int before = this.fleet.store().calls();
		this.scheduler.advance(Duration.ofMinutes(1));
		FollowTimes times = FollowTimes.within(WITHIN);
		long checks = Duration.ofMinutes(1).dividedBy(times.checkAfter());
		long watches = StoreFollower.WATCHERS * Duration.ofMinutes(1).dividedBy(times.watch());
		Truth.assertThat((long) this.fleet.store().calls() - before).isAtMost(checks + watches);
	}

	@Test
	void changeCostsOneCallPerWatcher() {
		this.scheduler.advance(Duration.ofMillis(10));
		int before = this.fleet.store().calls();
		this.fleet.store().change("second");
		this.scheduler.advance(Duration.ofMillis(300));
		Truth.assertThat(this.fleet.store().calls() - before).isAtMost(StoreFollower.WATCHERS + 1);
		this.fleet.daemons().forEach((daemon) -> Truth.assertThat(daemon.knows("second")).isTrue());
	}

	@Test
	void changedDocumentIsSentToEachDaemonOnce() {
		// Symptom: the bytes between data centres double when the document grows. Cause:
		// both watchers read it at the same moment, and each sent it to all others.
		this.scheduler.advance(Duration.ofMillis(37));
		int before = this.fleet.copiesSent();
		this.fleet.store().change("second");
		this.scheduler.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.fleet.copiesSent() - before).isEqualTo(DAEMONS - 1);
	}

	@Test
	void secondChangeIsKnownAtOnceThoughTheStoreRefusesTheWatchers() {
		// Symptom: each change takes a second for as long as the watchers are refused.
		// Sequence: the store refuses both watchers; two changes follow. Cause: a daemon
		// that only checks periodically is late each time.
		this.fleet.daemons()
			.subList(0, 2)
			.forEach((daemon) -> daemon.store().outcome(SimulatedStore.CallOutcome.REFUSED));
		this.fleet.store().change("second");
		this.scheduler.advance(WITHIN);
		this.fleet.store().change("third");
		this.scheduler.advance(Duration.ofMillis(300));
		this.fleet.daemons().forEach((daemon) -> Truth.assertThat(daemon.knows("third")).isTrue());
	}

	/**
	 * Symptom: a daemon uses a document that is no longer in force. Sequence: a fault
	 * affects one or more daemons, then the document changes. Cause: the watchers don't
	 * push the change or don't receive it themselves.
	 */
	@ParameterizedTest
	@EnumSource(Fault.class)
	void changeIsKnownInTimeOnAllConnectedDaemons(Fault fault) {
		fault.inject(this.fleet.daemons());
		this.fleet.store().change("second");
		this.scheduler.advance(WITHIN);
		for (SimulatedFleet.Daemon daemon : this.fleet.daemons()) {
			if (daemon.store().outcome() == SimulatedStore.CallOutcome.WORKS || daemon.connectedToPeers()) {
				Truth.assertWithMessage("rank " + daemon.rank()).that(daemon.knows("second")).isTrue();
			}
		}
	}

	@Test
	void silentConnectionsToTheStoreAreDetected() {
		// Symptom: a revoked key is accepted for the rest of a watch. Sequence: every
		// open connection to the store goes silent, while new ones work; the document
		// changes. Cause: no error is ever reported on the silent connections.
		this.fleet.store().silenceWatches();
		this.fleet.store().change("second");
		this.scheduler.advance(WITHIN);
		this.fleet.daemons().forEach((daemon) -> Truth.assertThat(daemon.knows("second")).isTrue());
	}

	@Test
	void documentTooLargeForAMessageIsReadFromTheStore() {
		// Symptom: a document of many megabytes would be in force on the two watchers
		// only. Sequence: it exceeds the longest frame, so neither a push nor a reply to
		// a digest arrives. What prevents it: a digest of a peer that knows more doesn't
		// confirm the copies, so each daemon queries the store itself.
		this.fleet.rejectCopies();
		this.fleet.store().change("second");
		this.scheduler.advance(WITHIN);
		this.fleet.daemons().forEach((daemon) -> Truth.assertThat(daemon.knows("second")).isTrue());
	}

	@ParameterizedTest
	@CsvSource({ "REFUSED, 260", "SILENT, 110" })
	void unavailableStoreGetsFewCallsAndIsReadByAllSoonAfterItReturns(SimulatedStore.CallOutcome outcome, int most) {
		// Symptom: hundreds of calls a second to an unavailable store. Sequence: no
		// daemon gets an answer of the store for ten seconds; the store returns with a
		// change. Cause: every daemon retries until it gets an answer.
		int before = this.fleet.store().calls();
		this.fleet.daemons().forEach((daemon) -> daemon.store().outcome(outcome));
		this.fleet.store().silenceWatches();
		this.scheduler.advance(Duration.ofSeconds(10));
		Truth.assertThat(this.fleet.store().calls() - before).isAtMost(most);
		this.fleet.store().change("second");
		this.fleet.daemons().forEach((daemon) -> daemon.store().outcome(SimulatedStore.CallOutcome.WORKS));
		this.scheduler.advance(WITHIN);
		this.fleet.daemons().forEach((daemon) -> Truth.assertThat(daemon.knows("second")).isTrue());
	}

	/**
	 * Guards against endpoints that are kept although they have been removed, because the
	 * store refused one daemon while it served all others.
	 */
	@ParameterizedTest
	@CsvSource({ "REFUSED, 0", "SILENT, 0", "REFUSED, 2", "SILENT, 7" })
	void storeThatRefusesOneDaemonHasNoOutage(SimulatedStore.CallOutcome outcome, int rank) {
		SimulatedFleet.Daemon refused = this.fleet.daemons().get(rank);
		refused.store().outcome(outcome);
		this.scheduler.advance(Duration.ofSeconds(8));
		refused.store().outcome(SimulatedStore.CallOutcome.WORKS);
		this.scheduler.advance(Duration.ofSeconds(1));
		this.fleet.store().change("second");
		this.scheduler.advance(Duration.ofMillis(500));
		this.fleet.daemons()
			.forEach((daemon) -> Truth.assertThat(daemon.sinceOutage()).isGreaterThan(Duration.ofSeconds(9)));
	}

	/**
	 * Guards against entries that expired in an outage but count as removed on some
	 * daemons.
	 */
	@ParameterizedTest
	@CsvSource({ "REFUSED, 4000", "SILENT, 4000", "REFUSED, 13000", "SILENT, 13000" })
	void allDaemonsKnowOfTheOutageWhenTheyReceiveTheChange(SimulatedStore.CallOutcome outcome, long millis) {
		this.fleet.daemons().forEach((daemon) -> daemon.store().outcome(outcome));
		this.scheduler.advance(Duration.ofMillis(millis));
		this.fleet.store().change("second");
		this.fleet.daemons().forEach((daemon) -> daemon.store().outcome(SimulatedStore.CallOutcome.WORKS));
		this.scheduler.advance(Duration.ofMillis(2_500));
		this.fleet.daemons().forEach((daemon) -> {
			Truth.assertThat(daemon.knows("second")).isTrue();
			Truth.assertThat(daemon.sinceOutage()).isAtMost(Duration.ofMillis(2_500));
		});
	}

	@Test
	void daemonThatStartsTakesCopiesFromItsPeers() {
		int before = this.fleet.store().calls();
		SimulatedFleet.Daemon late = this.fleet.startOneMore();
		this.scheduler.advance(Duration.ofMillis(900));
		Truth.assertThat(late.knows("first")).isTrue();
		Truth.assertThat(late.store().calls()).isEqualTo(1);
		Truth.assertThat(this.fleet.store().calls() - before).isAtMost(4);
	}

	/**
	 * A fault that is injected before a change.
	 */
	private enum Fault {

		NONE {
			@Override
			void inject(List<SimulatedFleet.Daemon> fleet) {
			}
		},

		WATCHERS_ISOLATED {
			@Override
			void inject(List<SimulatedFleet.Daemon> fleet) {
				fleet.subList(0, 2).forEach(SimulatedFleet.Daemon::isolate);
			}
		},

		WATCHERS_REFUSED {
			@Override
			void inject(List<SimulatedFleet.Daemon> fleet) {
				fleet.subList(0, 2).forEach((daemon) -> daemon.store().outcome(SimulatedStore.CallOutcome.REFUSED));
			}
		},

		WATCHERS_UNANSWERED {
			@Override
			void inject(List<SimulatedFleet.Daemon> fleet) {
				fleet.subList(0, 2).forEach((daemon) -> daemon.store().outcome(SimulatedStore.CallOutcome.SILENT));
			}
		},

		WATCHERS_WITHOUT_PEERS {
			@Override
			void inject(List<SimulatedFleet.Daemon> fleet) {
				fleet.subList(0, 2).forEach((daemon) -> daemon.disconnectPeers());
			}
		},

		HALF_OF_FLEET_REFUSED {
			@Override
			void inject(List<SimulatedFleet.Daemon> fleet) {
				fleet.subList(0, DAEMONS / 2)
					.forEach((daemon) -> daemon.store().outcome(SimulatedStore.CallOutcome.REFUSED));
			}
		},

		ONE_WITHOUT_PEERS {
			@Override
			void inject(List<SimulatedFleet.Daemon> fleet) {
				fleet.get(DAEMONS - 1).disconnectPeers();
			}
		},

		ALL_WITHOUT_PEERS {
			@Override
			void inject(List<SimulatedFleet.Daemon> fleet) {
				fleet.forEach((daemon) -> daemon.disconnectPeers());
			}
		};

		abstract void inject(List<SimulatedFleet.Daemon> fleet);

	}

}
