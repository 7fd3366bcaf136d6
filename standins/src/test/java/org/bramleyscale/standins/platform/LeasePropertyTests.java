package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.List;

import com.google.common.truth.Truth;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;

/**
 * Tests leases under arbitrary sequences of faults. The cluster checks every 50 ms that
 * at most one daemon holds the lease and that lease numbers increase.
 */
class LeasePropertyTests {

	private static final int DAEMONS = 3;

	private static final Duration RECOVERY_TIME = LeaseCluster.SETTINGS.duration().multipliedBy(4);

	@Property(tries = 300, seed = "20260101")
	void neverTwoHoldersAndOneHolderAfterRecovery(@ForAll("events") List<Event> events) {
		LeaseCluster cluster = new LeaseCluster(DAEMONS).started();
		for (Event event : events) {
			event.apply(cluster);
			cluster.advance(Duration.ofMillis(event.millisAfter()));
		}
		cluster.faults().clear();
		for (int index = 0; index < DAEMONS; index++) {
			cluster.daemon(index).scheduler().resume();
			cluster.daemon(index).store().setPartitioned(false);
		}
		cluster.advance(RECOVERY_TIME);
		Truth.assertThat(cluster.holders()).hasSize(1);
	}

	@Provide
	Arbitrary<List<Event>> events() {
		Arbitrary<Action> actions = Arbitraries.of(Action.class);
		Arbitrary<Integer> daemons = Arbitraries.integers().between(0, DAEMONS - 1);
		Arbitrary<PlatformFault.Kind> kinds = Arbitraries.of(PlatformFault.Kind.class);
		Arbitrary<Integer> calls = Arbitraries.integers().between(1, 5);
		Arbitrary<Integer> delays = Arbitraries.integers().between(0, 15_000);
		return Combinators.combine(actions, daemons, kinds, calls, delays).as(Event::new).list().ofMaxSize(20);
	}

	/**
	 * The kinds of events.
	 */
	enum Action {

		PAUSE, RESUME, PARTITION, RECONNECT, FAULT, CLEAR, STEP_CLOCK

	}

	/**
	 * One event and the time that passes after it.
	 */
	record Event(Action action, int daemon, PlatformFault.Kind kind, int calls, int millisAfter) {

		private static final Duration FAULT_DELAY = Duration.ofMillis(3100);

		void apply(LeaseCluster cluster) {
			LeaseCluster.Daemon target = cluster.daemon(this.daemon);
			switch (this.action) {
				case PAUSE -> target.scheduler().pause();
				case RESUME -> target.scheduler().resume();
				case PARTITION -> target.store().setPartitioned(true);
				case RECONNECT -> target.store().setPartitioned(false);
				case FAULT ->
					cluster.faults().inject(PlatformFault.of(this.kind).withDelay(FAULT_DELAY).times(this.calls));
				case CLEAR -> cluster.faults().clear();
				case STEP_CLOCK -> cluster.scheduler().stepWallTime(Duration.ofHours(this.calls));
				default -> throw new IllegalStateException("Unknown action " + this.action);
			}
		}

	}

}
