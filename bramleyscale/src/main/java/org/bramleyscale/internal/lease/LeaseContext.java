package org.bramleyscale.internal.lease;

import java.time.Duration;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.time.Scheduler;

/**
 * What all leases of a daemon share.
 *
 * @param scheduler the daemon's scheduler
 * @param store the platform's object API
 * @param self this daemon's incarnation
 * @param settings the times
 * @param random spreads the reads of claimants and marks writes
 * @param metrics counts leases taken, lost and contended
 */
record LeaseContext(Scheduler scheduler, ObjectStore store, Incarnation self, LeaseSettings settings,
		RandomGenerator random, MetricRegistry metrics) {

	private static final double LEAST_PART = 0.75;

	private static final double SPREAD = 0.5;

	/**
	 * A pause before the next read of a lease that another daemon holds.
	 * @return around the renewal interval
	 */
	Duration readPause() {
		double part = LEAST_PART + SPREAD * this.random.nextDouble();
		return Duration.ofNanos((long) (this.settings.renewEvery().toNanos() * part));
	}

	/**
	 * How long a lease is still valid.
	 * @param sentAt when the write that took or renewed it was sent
	 * @return nanoseconds, negative if it has lapsed
	 */
	long remainingNanos(long sentAt) {
		return sentAt + this.settings.validity().toNanos() - this.scheduler.nanos();
	}

	void count(String event) {
		this.metrics.counter("lease." + event).inc();
	}

}
