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
 * Leases kept as objects of the platform.
 *
 * <p>
 * Invariants: of all daemons at most one sees a lease as held at any moment, as long as
 * their monotonic clocks differ in rate by less than the margin; the number of a later
 * tenure is greater. In an outage of the platform no lease can be taken, and those held
 * lapse. Confined to the scheduler's thread.
 */
public final class LeaseManager implements Leases, StateDump {

	private static final int MOST_SHOWN = 100;

	private final LeaseContext context;

	private final Map<String, LeaseSeeker> seekers = new TreeMap<>();

	/**
	 * Creates the manager.
	 * @param scheduler the daemon's scheduler
	 * @param store the platform's object API
	 * @param self this daemon's incarnation
	 * @param settings the times
	 * @param random spreads the reads of claimants and marks writes; seeded differently
	 * at each start
	 * @param metrics counts leases taken, lost and contended
	 */
	public LeaseManager(Scheduler scheduler, ObjectStore store, Incarnation self, LeaseSettings settings,
			RandomGenerator random, MetricRegistry metrics) {
		this.context = new LeaseContext(scheduler, store, self, settings, random, metrics);
	}

	@Override
	public void seek(String name, LeaseListener listener) {
		if (this.seekers.containsKey(name)) {
			throw new IllegalArgumentException("lease '" + name + "' is sought already");
		}
		LeaseSeeker seeker = new LeaseSeeker(this.context, name, listener);
		this.seekers.put(name, seeker);
		seeker.start();
	}

	@Override
	public void release(String name) {
		LeaseSeeker seeker = this.seekers.remove(name);
		if (seeker != null) {
			seeker.stop();
		}
	}

	@Override
	public Optional<Lease> lease(String name) {
		return Optional.ofNullable(this.seekers.get(name)).flatMap(LeaseSeeker::lease);
	}

	@Override
	public String name() {
		return "leases";
	}

	@Override
	public Object dump() {
		return this.seekers.values().stream().limit(MOST_SHOWN).map(LeaseSeeker::view).toList();
	}

}
