package org.bramleyscale.internal.gateway.contention;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/**
 * Counters of waiting requests by priority. Safe for use by multiple threads.
 */
public final class ContentionMetrics {

	/**
	 * Number of samples that a histogram keeps: an error of 1 % at p95, 8 KB of memory.
	 */
	private static final int RESERVOIR_SIZE = 512;

	private static final double DECAY_ALPHA = 0.015;

	private final MetricRegistry registry;

	public ContentionMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	void waited(int priority) {
		this.registry.counter("gateway.contention.waited." + priority).inc();
	}

	/**
	 * Counts a refusal.
	 * @param priority the priority of the request
	 * @param displaced whether it could have been served without the work ahead of it
	 */
	void refused(int priority, boolean displaced) {
		this.registry.counter("gateway.contention." + (displaced ? "displaced." : "refused.") + priority).inc();
	}

	void waitEnded(int priority, long nanos) {
		this.registry
			.timer("gateway.contention.wait." + priority,
					() -> new Timer(new ExponentiallyDecayingReservoir(RESERVOIR_SIZE, DECAY_ALPHA)))
			.update(nanos, TimeUnit.NANOSECONDS);
	}

}
