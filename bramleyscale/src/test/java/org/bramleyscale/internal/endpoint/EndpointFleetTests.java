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
 * What reaches an endpoint while entries, owners and the platform fail at random.
 */
class EndpointFleetTests {

	private static final int DAEMONS = 6;

	private static final int SLOTS = 16;

	@Property(tries = 40, seed = "11")
	void withoutFaultsOnlyFirstRequestsExceedTheCapacity(
			@ForAll @Size(min = 60, max = 120) List<@From("loads") Act> acts) {
		perform(acts, SLOTS + DAEMONS);
	}

	@Property(tries = 60, seed = "11")
	void underFaultsTheExcessIsBounded(@ForAll @Size(min = 60, max = 120) List<@From("faults") Act> acts) {
		// Shares of entries that a new owner can't hear are at most half of what they
		// held,
		// and every daemon may start one request without a grant.
		perform(acts, SLOTS + SLOTS / 2 + DAEMONS);
	}

	@Provide
	Arbitrary<Act> loads() {
		return acts(Arbitraries.of(Kind.LOAD, Kind.LOAD, Kind.PAUSE));
	}

	@Provide
	Arbitrary<Act> faults() {
		return acts(Arbitraries.frequencyOf(Tuple.of(12, Arbitraries.just(Kind.LOAD)),
				Tuple.of(8, Arbitraries.of(Kind.class))));
	}

	private static Arbitrary<Act> acts(Arbitrary<Kind> kinds) {
		return Combinators
			.combine(kinds, Arbitraries.integers().between(1, DAEMONS), Arbitraries.integers().between(1, 40))
			.as(Act::new);
	}

	private static void perform(List<Act> acts, int bound) {
		World world = new World(bound);
		acts.forEach(world::perform);
	}

	enum Kind {

		LOAD, PAUSE, KILL, CUT, HEAL, OUTAGE, RECOVERY

	}

	record Act(Kind kind, int daemon, int size) {
	}

	private static final class World {

		private final EndpointFleet fleet = new EndpointFleet(DAEMONS, "e1");

		private final Set<String> cut = new HashSet<>();

		private final int bound;

		private World(int bound) {
			this.bound = bound;
		}

		private void perform(Act act) {
			String vm = "vm-" + act.daemon;
			switch (act.kind) {
				case LOAD -> load(vm, act.size);
				case PAUSE -> this.fleet.advance(Duration.ofMillis(100L * act.size));
				case KILL -> kill(vm);
				case CUT -> cut(vm);
				case HEAL -> heal(vm);
				case OUTAGE -> this.fleet.leases().outage();
				default -> this.fleet.leases().recovered();
			}
		}

		private void load(String vm, int tries) {
			EndpointFleet.Daemon daemon = this.fleet.daemon(vm);
			for (int i = 0; i < tries && daemon != null; i++) {
				daemon.run("e1", 10_000, Duration.ofSeconds(1 + tries % 7));
				this.fleet.advance(Duration.ofMillis(20));
				check();
			}
		}

		private void kill(String vm) {
			if (this.fleet.daemons().size() > 3 && this.fleet.daemon(vm) != null) {
				this.fleet.kill(vm);
			}
		}

		private void cut(String vm) {
			if (this.cut.size() < 2 && this.fleet.daemon(vm) != null) {
				this.fleet.network().cut(new VmId(vm));
				this.cut.add(vm);
			}
		}

		private void heal(String vm) {
			this.fleet.network().heal(new VmId(vm));
			this.cut.remove(vm);
		}

		private void check() {
			int running = this.fleet.engines.engine("e1").running;
			Truth.assertThat(running).isAtMost(this.bound);
		}

	}

}
