package org.bramleyscale.bench.routing;

import java.time.Duration;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.time.Scheduler;

/**
 * The instances of a plain service together: so many calls at once, each taking a random
 * time.
 */
final class FakeService {

	private final Scheduler scheduler;

	private final int slots;

	private final double meanSeconds;

	private final RandomGenerator random;

	private int running;

	FakeService(Scheduler scheduler, int slots, double meanSeconds, RandomGenerator random) {
		this.scheduler = scheduler;
		this.slots = slots;
		this.meanSeconds = meanSeconds;
		this.random = random;
	}

	boolean hasRoom() {
		return this.running < this.slots;
	}

	void call(Runnable done) {
		this.running++;
		double seconds = this.meanSeconds * (0.5 + this.random.nextDouble());
		this.scheduler.schedule(Duration.ofNanos((long) (seconds * 1e9)), () -> {
			this.running--;
			done.run();
		});
	}

}
