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
 * Plays a fleet of daemons that follow one store: how soon a change is known everywhere,
 * and for how many calls.
 *
 * <p>
 * The daemons are in ranked order; all connect with all. A change must be in force within
 * {@link #WITHIN}.
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
	void aQuietMinuteCostsFewCallsHoweverManyDaemonsThereAre() {
		// Symptom: 21 calls a daemon and kind in 53 s in which nothing changed. Cause:
		// every daemon watched, and each watch was short so that a silent connection was
		// noticed.
		int before = this.fleet.store().calls();
		this.scheduler.advance(Duration.ofMinutes(1));
		FollowTimes times = FollowTimes.within(WITHIN);
		long checks = Duration.ofMinutes(1).dividedBy(times.checkAfter());
		long watches = StoreFollower.WATCHERS * Duration.ofMinutes(1).dividedBy(times.watch());
		Truth.assertThat((long) this.fleet.store().calls() - before).isAtMost(checks + watches);
	}

	@Test
	void aChangeCostsACallOfEachWatcher() {
		this.scheduler.advance(Duration.ofMillis(10));
		int before = this.fleet.store().calls();
		this.fleet.store().change("second");
		this.scheduler.advance(Duration.ofMillis(300));
		Truth.assertThat(this.fleet.store().calls() - before).isAtMost(StoreFollower.WATCHERS + 1);
		this.fleet.daemons().forEach((daemon) -> Truth.assertThat(daemon.knows("second")).isTrue());
	}

	@Test
	void aChangedDocumentGoesToEachDaemonOnce() {
		// Symptom: the bytes between data centres double when the document grows. Cause:
		// both watchers read it at the same moment, and each sent it to everybody.
		this.scheduler.advance(Duration.ofMillis(37));
		int before = this.fleet.copiesSent();
		this.fleet.store().change("second");
		this.scheduler.advance(Duration.ofSeconds(1));
		Truth.assertThat(this.fleet.copiesSent() - before).isEqualTo(DAEMONS - 1);
	}

	@Test
	void theSecondChangeIsKnownAtOnceThoughNoWatcherHearsTheStore() {
		// Symptom: each change takes a second, for as long as the watchers are turned
		// away. Sequence: the store turns both watchers away; two changes. Cause: who
		// only checks now and then is late each time.
		this.fleet.daemons().subList(0, 2).forEach((daemon) -> daemon.store().link(SimulatedStore.Link.REFUSED));
		this.fleet.store().change("second");
		this.scheduler.advance(WITHIN);
		this.fleet.store().change("third");
		this.scheduler.advance(Duration.ofMillis(300));
		this.fleet.daemons().forEach((daemon) -> Truth.assertThat(daemon.knows("third")).isTrue());
	}

	/**
	 * Symptom: a daemon serves by a document that is no longer in force. Sequence:
	 * something happens to one or more daemons, then the document changes. Cause: those
	 * that followed the store don't tell, or don't hear it themselves.
	 */
	@ParameterizedTest
	@EnumSource(Fault.class)
	void aChangeIsKnownInTimeByAllThatCanHearOfIt(Fault trouble) {
		trouble.inject(this.fleet.daemons());
		this.fleet.store().change("second");
		this.scheduler.advance(WITHIN);
		for (SimulatedFleet.Daemon daemon : this.fleet.daemons()) {
			if (daemon.store().link() == SimulatedStore.Link.WORKS || daemon.connectedToPeers()) {
				Truth.assertWithMessage("rank " + daemon.rank()).that(daemon.knows("second")).isTrue();
			}
		}
	}

	@Test
	void connectionsToTheStoreThatAllWentSilentAreNoticed() {
		// Symptom: a key that was taken away is accepted for the rest of a watch.
		// Sequence: every open connection to the store goes silent, new ones work; the
		// document changes. Cause: no error is ever reported on them.
		this.fleet.store().silenceWatches();
		this.fleet.store().change("second");
		this.scheduler.advance(WITHIN);
		this.fleet.daemons().forEach((daemon) -> Truth.assertThat(daemon.knows("second")).isTrue());
	}

	@Test
	void aDocumentThatIsTooLargeToBePassedOnIsReadFromTheStore() {
		// Symptom: a document of many megabytes would be in force on the two daemons that
		// watch and nowhere else. Sequence: it exceeds the longest frame, so no push and
		// no
		// answer to a question arrives. What prevents it: hearing that a peer knows more
		// doesn't make news fresh, so each daemon asks the store itself.
		this.fleet.rejectCopies();
		this.fleet.store().change("second");
		this.scheduler.advance(WITHIN);
		this.fleet.daemons().forEach((daemon) -> Truth.assertThat(daemon.knows("second")).isTrue());
	}

	@ParameterizedTest
	@CsvSource({ "REFUSED, 260", "SILENT, 110" })
	void aStoreThatIsAwayIsAskedByFewAndIsBackForAllAtOnce(SimulatedStore.Link link, int most) {
		// Symptom: hundreds of calls a second at a store that is away. Sequence: nobody
		// hears the store for ten seconds; it comes back, changed. Cause: every daemon
		// asks until it is answered.
		int before = this.fleet.store().calls();
		this.fleet.daemons().forEach((daemon) -> daemon.store().link(link));
		this.fleet.store().silenceWatches();
		this.scheduler.advance(Duration.ofSeconds(10));
		Truth.assertThat(this.fleet.store().calls() - before).isAtMost(most);
		this.fleet.store().change("second");
		this.fleet.daemons().forEach((daemon) -> daemon.store().link(SimulatedStore.Link.WORKS));
		this.scheduler.advance(WITHIN);
		this.fleet.daemons().forEach((daemon) -> Truth.assertThat(daemon.knows("second")).isTrue());
	}

	/**
	 * Guards against endpoints that are kept though they are gone, since the store turned
	 * one daemon away while it served all others.
	 */
	@ParameterizedTest
	@CsvSource({ "REFUSED, 0", "SILENT, 0", "REFUSED, 2", "SILENT, 7" })
	void aStoreThatTurnsOneDaemonAwayWasNotAway(SimulatedStore.Link link, int rank) {
		SimulatedFleet.Daemon turnedAway = this.fleet.daemons().get(rank);
		turnedAway.store().link(link);
		this.scheduler.advance(Duration.ofSeconds(8));
		turnedAway.store().link(SimulatedStore.Link.WORKS);
		this.scheduler.advance(Duration.ofSeconds(1));
		this.fleet.store().change("second");
		this.scheduler.advance(Duration.ofMillis(500));
		this.fleet.daemons()
			.forEach((daemon) -> Truth.assertThat(daemon.sinceOutage()).isGreaterThan(Duration.ofSeconds(9)));
	}

	/** Guards against entries that lapsed in an outage and count as gone for some. */
	@ParameterizedTest
	@CsvSource({ "REFUSED, 4000", "SILENT, 4000", "REFUSED, 13000", "SILENT, 13000" })
	void allDaemonsKnowThatTheStoreWasAwayOnceTheyHearWhatChanged(SimulatedStore.Link link, long millis) {
		this.fleet.daemons().forEach((daemon) -> daemon.store().link(link));
		this.scheduler.advance(Duration.ofMillis(millis));
		this.fleet.store().change("second");
		this.fleet.daemons().forEach((daemon) -> daemon.store().link(SimulatedStore.Link.WORKS));
		this.scheduler.advance(Duration.ofMillis(2_500));
		this.fleet.daemons().forEach((daemon) -> {
			Truth.assertThat(daemon.knows("second")).isTrue();
			Truth.assertThat(daemon.sinceOutage()).isAtMost(Duration.ofMillis(2_500));
		});
	}

	@Test
	void aDaemonThatStartsTakesCopiesFromItsPeers() {
		int before = this.fleet.store().calls();
		SimulatedFleet.Daemon late = this.fleet.startOneMore();
		this.scheduler.advance(Duration.ofMillis(900));
		Truth.assertThat(late.knows("first")).isTrue();
		Truth.assertThat(late.store().calls()).isEqualTo(1);
		Truth.assertThat(this.fleet.store().calls() - before).isAtMost(4);
	}

	/**
	 * What happens before a change.
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
				fleet.subList(0, 2).forEach((daemon) -> daemon.store().link(SimulatedStore.Link.REFUSED));
			}
		},

		WATCHERS_UNANSWERED {
			@Override
			void inject(List<SimulatedFleet.Daemon> fleet) {
				fleet.subList(0, 2).forEach((daemon) -> daemon.store().link(SimulatedStore.Link.SILENT));
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
				fleet.subList(0, DAEMONS / 2).forEach((daemon) -> daemon.store().link(SimulatedStore.Link.REFUSED));
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
