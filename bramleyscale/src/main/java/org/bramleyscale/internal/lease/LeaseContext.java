package org.bramleyscale.internal.lease;

import java.time.Duration;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The dependencies and settings shared by all leases of a daemon.
 *
 * @param scheduler the daemon's scheduler
 * @param store the platform's object API
 * @param self this daemon's incarnation
 * @param settings durations and intervals
 * @param random source of read jitter and of write nonces
 * @param metrics counts leases acquired, leases lost and write conflicts
 */
record LeaseContext(Scheduler scheduler, ObjectStore store, Incarnation self, LeaseSettings settings,
		RandomGenerator random, MetricRegistry metrics) {

	private static final double MIN_JITTER_FACTOR = 0.75;

	private static final double JITTER_RANGE = 0.5;

	/**
	 * The jittered delay before the next read of a lease that another daemon holds.
	 * @return 0.75 to 1.25 times the renewal interval
	 */
	Duration readDelay() {
		double factor = MIN_JITTER_FACTOR + JITTER_RANGE * this.random.nextDouble();
		return Duration.ofNanos((long) (this.settings.renewInterval().toNanos() * factor));
	}

	/**
	 * The remaining validity of a lease.
	 * @param sentAt the monotonic time at which the write that acquired or renewed it was
	 * sent
	 * @return nanoseconds, zero or negative if it has expired
	 */
	long remainingNanos(long sentAt) {
		return sentAt + this.settings.validity().toNanos() - this.scheduler.nanos();
	}

	void count(String event) {
		this.metrics.counter("lease." + event).inc();
	}

}
