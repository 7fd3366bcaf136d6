package org.bramleyscale.internal.endpoint;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import com.google.common.truth.Truth;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.Size;
import org.bramleyscale.VmId;

/**
 * Bounds on the requests in flight at an endpoint under random faults of entries, owners
 * and the platform.
 */
class EndpointFleetTests {

	private static final int DAEMONS = 6;

	private static final int SLOTS = 16;

	@Property(tries = 40, seed = "11")
	void onlyFirstRequestsExceedTheCapacityWithoutFaults(
			@ForAll @Size(min = 60, max = 120) List<@From("loads") Action> actions) {
		perform(actions, SLOTS + DAEMONS);
	}

	@Property(tries = 60, seed = "11")
	void excessIsBoundedUnderFaults(@ForAll @Size(min = 60, max = 120) List<@From("faults") Action> actions) {
		// The shares of entries that a new owner can't reach are at most half of their
		// former grants, and every daemon may start one request without a grant.
		perform(actions, SLOTS + SLOTS / 2 + DAEMONS);
	}

	@Provide
	Arbitrary<Action> loads() {
		return actions(Arbitraries.of(Kind.LOAD, Kind.LOAD, Kind.PAUSE));
	}

	@Provide
	Arbitrary<Action> faults() {
		return actions(Arbitraries.frequencyOf(Tuple.of(12, Arbitraries.just(Kind.LOAD)),
				Tuple.of(8, Arbitraries.of(Kind.class))));
	}

	private static Arbitrary<Action> actions(Arbitrary<Kind> kinds) {
		return Combinators
			.combine(kinds, Arbitraries.integers().between(1, DAEMONS), Arbitraries.integers().between(1, 40))
			.as(Action::new);
	}

	private static void perform(List<Action> actions, int bound) {
		Simulation simulation = new Simulation(bound);
		actions.forEach(simulation::perform);
	}

	enum Kind {

		LOAD, PAUSE, KILL, PARTITION, HEAL, OUTAGE, RECOVERY

	}

	record Action(Kind kind, int daemon, int size) {
	}

	private static final class Simulation {

		private final EndpointFleet fleet = new EndpointFleet(DAEMONS, "e1");

		private final Set<String> partitioned = new HashSet<>();

		private final int bound;

		private Simulation(int bound) {
			this.bound = bound;
		}

		private void perform(Action action) {
			String vm = "vm-" + action.daemon;
			switch (action.kind) {
				case LOAD -> load(vm, action.size);
				case PAUSE -> this.fleet.advance(Duration.ofMillis(100L * action.size));
				case KILL -> kill(vm);
				case PARTITION -> partition(vm);
				case HEAL -> heal(vm);
				case OUTAGE -> this.fleet.leases().startOutage();
				default -> this.fleet.leases().endOutage();
			}
		}

		private void load(String vm, int attempts) {
			EndpointFleet.Daemon daemon = this.fleet.daemon(vm);
			for (int i = 0; i < attempts && daemon != null; i++) {
				daemon.tryRun("e1", 10_000, Duration.ofSeconds(1 + attempts % 7));
				this.fleet.advance(Duration.ofMillis(20));
				assertBound();
			}
		}

		private void kill(String vm) {
			if (this.fleet.daemons().size() > 3 && this.fleet.daemon(vm) != null) {
				this.fleet.kill(vm);
			}
		}

		private void partition(String vm) {
			if (this.partitioned.size() < 2 && this.fleet.daemon(vm) != null) {
				this.fleet.network().partition(new VmId(vm));
				this.partitioned.add(vm);
			}
		}

		private void heal(String vm) {
			this.fleet.network().heal(new VmId(vm));
			this.partitioned.remove(vm);
		}

		private void assertBound() {
			int running = this.fleet.engines.engine("e1").running;
			Truth.assertThat(running).isAtMost(this.bound);
		}

	}

}
