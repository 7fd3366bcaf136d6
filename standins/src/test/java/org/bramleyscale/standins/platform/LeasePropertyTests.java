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
 * Leases under any sequence of faults. The cluster checks after each 50 ms that no two
 * daemons hold the lease and that numbers grow.
 */
class LeasePropertyTests {

	private static final int SEATS = 3;

	private static final Duration HEALING = LeaseCluster.SETTINGS.duration().multipliedBy(4);

	@Property(tries = 300, seed = "20260101")
	void neverTwoHoldersAndOneInTheEnd(@ForAll("events") List<Event> events) {
		LeaseCluster cluster = new LeaseCluster(SEATS).started();
		for (Event event : events) {
			event.apply(cluster);
			cluster.pass(Duration.ofMillis(event.thenMillis()));
		}
		cluster.faults().clear();
		for (int index = 0; index < SEATS; index++) {
			cluster.seat(index).scheduler().resume();
			cluster.seat(index).store().cutOff(false);
		}
		cluster.pass(HEALING);
		Truth.assertThat(cluster.holders()).hasSize(1);
	}

	@Provide
	Arbitrary<List<Event>> events() {
		Arbitrary<Action> actions = Arbitraries.of(Action.class);
		Arbitrary<Integer> seats = Arbitraries.integers().between(0, SEATS - 1);
		Arbitrary<PlatformFault.Kind> kinds = Arbitraries.of(PlatformFault.Kind.class);
		Arbitrary<Integer> calls = Arbitraries.integers().between(1, 5);
		Arbitrary<Integer> pauses = Arbitraries.integers().between(0, 15_000);
		return Combinators.combine(actions, seats, kinds, calls, pauses).as(Event::new).list().ofMaxSize(20);
	}

	/**
	 * What may happen.
	 */
	enum Action {

		PAUSE, RESUME, CUT_OFF, JOIN, FAULT, CLEAR, STEP_CLOCK

	}

	/**
	 * One thing that happens, and how long it lasts.
	 */
	record Event(Action action, int seat, PlatformFault.Kind kind, int calls, int thenMillis) {

		private static final Duration FAULT_DELAY = Duration.ofMillis(3100);

		void apply(LeaseCluster cluster) {
			LeaseCluster.Seat struck = cluster.seat(this.seat);
			switch (this.action) {
				case PAUSE -> struck.scheduler().pause();
				case RESUME -> struck.scheduler().resume();
				case CUT_OFF -> struck.store().cutOff(true);
				case JOIN -> struck.store().cutOff(false);
				case FAULT -> cluster.faults().inject(PlatformFault.of(this.kind).by(FAULT_DELAY).times(this.calls));
				case CLEAR -> cluster.faults().clear();
				case STEP_CLOCK -> cluster.scheduler().stepWallTime(Duration.ofHours(this.calls));
				default -> throw new IllegalStateException("Unknown action " + this.action);
			}
		}

	}

}
