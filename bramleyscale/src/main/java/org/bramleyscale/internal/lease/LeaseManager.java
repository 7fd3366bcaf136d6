package org.bramleyscale.internal.lease;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Leases stored as objects in the platform's object store.
 *
 * <p>
 * Invariants: at most one daemon regards a lease as held at any moment, as long as the
 * rates of their monotonic clocks differ by less than the margin allows; each later
 * tenure has a greater number. During an outage of the platform no lease can be acquired,
 * and those held expire. Confined to the scheduler's thread.
 */
public final class LeaseManager implements Leases, StateDump {

	private static final int MAX_DUMPED = 100;

	private final LeaseContext context;

	private final Map<String, LeaseAcquirer> acquirers = new TreeMap<>();

	/**
	 * Creates the manager.
	 * @param scheduler the daemon's scheduler
	 * @param store the platform's object API
	 * @param self this daemon's incarnation
	 * @param settings durations and intervals
	 * @param random source of read jitter and of write nonces; seeded differently at each
	 * start
	 * @param metrics counts leases acquired, leases lost and write conflicts
	 */
	public LeaseManager(Scheduler scheduler, ObjectStore store, Incarnation self, LeaseSettings settings,
			RandomGenerator random, MetricRegistry metrics) {
		this.context = new LeaseContext(scheduler, store, self, settings, random, metrics);
	}

	@Override
	public void acquire(String name, LeaseListener listener) {
		if (this.acquirers.containsKey(name)) {
			throw new IllegalArgumentException("lease '" + name + "' is already being acquired");
		}
		LeaseAcquirer acquirer = new LeaseAcquirer(this.context, name, listener);
		this.acquirers.put(name, acquirer);
		acquirer.start();
	}

	@Override
	public void release(String name) {
		LeaseAcquirer acquirer = this.acquirers.remove(name);
		if (acquirer != null) {
			acquirer.stop();
		}
	}

	@Override
	public Optional<Lease> lease(String name) {
		return Optional.ofNullable(this.acquirers.get(name)).flatMap(LeaseAcquirer::lease);
	}

	@Override
	public String name() {
		return "leases";
	}

	@Override
	public Object dump() {
		return this.acquirers.values().stream().limit(MAX_DUMPED).map(LeaseAcquirer::view).toList();
	}

}
