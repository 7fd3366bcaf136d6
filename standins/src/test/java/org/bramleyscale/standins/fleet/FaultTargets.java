package org.bramleyscale.standins.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.random.RandomGenerator;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.time.Cancellable;

/**
 * Selects the targets of faults, and checks that endpoints that are leaving get no new
 * work.
 *
 * <p>
 * Confined to the test's thread.
 */
final class FaultTargets {

	private static final Duration CHECK_INTERVAL = Duration.ofMillis(50);

	private static final Duration LEAVING_GRACE = Duration.ofSeconds(3);

	private final Fleet fleet;

	private final OperatorScript operator;

	private final Violations violations;

	private final Set<EndpointId> leaving = new HashSet<>();

	private final Map<EndpointId, Cancellable> watches = new HashMap<>();

	FaultTargets(Fleet fleet, OperatorScript operator, Violations violations) {
		this.fleet = fleet;
		this.operator = operator;
		this.violations = violations;
	}

	Fleet fleet() {
		return this.fleet;
	}

	OperatorScript operator() {
		return this.operator;
	}

	/**
	 * Selects an engine: in half of the cases the busiest one, since a fault at an idle
	 * engine reveals little, and otherwise a random one.
	 * @param random the source of randomness
	 * @return the engine
	 */
	EndpointId engine(RandomGenerator random) {
		List<EndpointId> engines = new ArrayList<>(this.fleet.endpoints().engineNames());
		engines.removeAll(this.leaving);
		return pick(engines, (name) -> this.fleet.endpoints().engine(name).counts().snapshot().started(), random);
	}

	/**
	 * Selects an instance of a plain service in the same way.
	 * @param random the source of randomness
	 * @return the instance
	 */
	EndpointId service(RandomGenerator random) {
		return pick(this.fleet.endpoints().serviceNames(),
				(name) -> this.fleet.endpoints().service(name).bookings().size(), random);
	}

	private static EndpointId pick(List<EndpointId> all, ToLongFunction<EndpointId> work, RandomGenerator random) {
		return random.nextBoolean() ? all.get(random.nextInt(all.size()))
				: Collections.max(all, Comparator.comparingLong(work));
	}

	/**
	 * Forbids new work at an endpoint from 3 s after the first daemon knows that it is
	 * leaving.
	 * @param endpoint the endpoint
	 * @param known whether a daemon knows
	 */
	void leaving(EndpointId endpoint, Predicate<FleetDaemon> known) {
		this.leaving.add(endpoint);
		this.watches.put(endpoint, this.fleet.scheduler().repeat(CHECK_INTERVAL, () -> {
			if (this.fleet.daemons().stream().filter(FleetDaemon::running).anyMatch(known)) {
				this.watches.remove(endpoint).cancel();
				this.violations.noWorkAfter(endpoint, this.fleet.scheduler().nanos() + LEAVING_GRACE.toNanos());
			}
		}));
	}

	/**
	 * Permits work at an endpoint again.
	 * @param endpoint the endpoint
	 */
	void notLeaving(EndpointId endpoint) {
		this.leaving.remove(endpoint);
		Optional.ofNullable(this.watches.remove(endpoint)).ifPresent(Cancellable::cancel);
		this.violations.noWorkAfter(endpoint, Long.MAX_VALUE);
	}

}
