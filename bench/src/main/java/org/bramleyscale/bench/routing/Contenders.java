package org.bramleyscale.bench.routing;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

import org.bramleyscale.internal.routing.PredictivePolicy;
import org.bramleyscale.internal.routing.RoutingPolicy;
import org.bramleyscale.internal.routing.SpeedEstimator;
import org.bramleyscale.internal.routing.baseline.LeastInFlightPolicy;
import org.bramleyscale.internal.routing.baseline.PrefixAffinityPolicy;
import org.bramleyscale.internal.routing.baseline.RandomPolicy;
import org.bramleyscale.internal.routing.baseline.RoundRobinPolicy;
import org.bramleyscale.internal.routing.baseline.TwoChoicesPolicy;
import org.bramleyscale.internal.routing.baseline.TwoHashedPolicy;
import org.bramleyscale.internal.time.Clock;

/**
 * The contenders: the real decisions, the same without one mechanism each, and the
 * baselines.
 *
 * <p>
 * The baselines have the same admission, grants and priority of urgent services, but no
 * priority by length, no refusal by predicted finish and no ejection.
 */
final class Contenders {

	static final Contender OURS = ours("bramleyscale", EnumSet.allOf(Mechanism.class));

	static final Contender LEAST_IN_FLIGHT = new Contender("least-in-flight",
			(clock, entry, speeds) -> new LeastInFlightPolicy(), Set.of());

	/** The baseline with the engine priorities of the real decisions. */
	static final Contender LEAST_WITH_PRIORITY = new Contender("least+priority",
			(clock, entry, speeds) -> new LeastInFlightPolicy(), Set.of(Mechanism.PRIORITY));

	private Contenders() {
	}

	static List<Contender> baselines() {
		return List.of(new Contender("random", (clock, entry, speeds) -> new RandomPolicy(), Set.of()),
				new Contender("round-robin", (clock, entry, speeds) -> new RoundRobinPolicy(), Set.of()),
				LEAST_IN_FLIGHT,
				new Contender("two-choices", (clock, entry, speeds) -> new TwoChoicesPolicy(), Set.of()),
				new Contender("prefix-home", (clock, entry, speeds) -> new PrefixAffinityPolicy(),
						Set.of(Mechanism.AFFINITY)),
				new Contender("two-hashed", (clock, entry, speeds) -> new TwoHashedPolicy(),
						Set.of(Mechanism.AFFINITY, Mechanism.OWN_WORK)));
	}

	static List<Contender> ablations() {
		List<Contender> ablations = new ArrayList<>();
		for (Mechanism mechanism : Mechanism.values()) {
			ablations.add(ours("without " + mechanism.label(), EnumSet.complementOf(EnumSet.of(mechanism))));
		}
		return ablations;
	}

	private static Contender ours(String name, Set<Mechanism> mechanisms) {
		return new Contender(name, (clock, entry, speeds) -> policy(clock, entry, speeds, mechanisms), mechanisms);
	}

	private static RoutingPolicy policy(Clock clock, int entry, SpeedEstimator speeds, Set<Mechanism> mechanisms) {
		return PredictivePolicy.builder(clock)
			.position(() -> mechanisms.contains(Mechanism.ENTRY_HOMES) ? entry : 0)
			.speeds(speeds)
			.lanes(mechanisms.contains(Mechanism.LANES))
			.queueing(mechanisms.contains(Mechanism.ENTRY_QUEUE))
			.build();
	}

}
