package org.bramleyscale.internal.gateway.request;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/**
 * Records the outcomes and durations of requests.
 *
 * <p>
 * Safe for use by multiple threads.
 */
public final class GatewayMetrics {

	/**
	 * Number of samples that a histogram keeps: an error of 1 % at p95, 8 KB of memory.
	 */
	private static final int RESERVOIR_SIZE = 512;

	private static final double DECAY_ALPHA = 0.015;

	private final MetricRegistry registry;

	public GatewayMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Counts how a request ended.
	 * @param outcome for instance {@code completed} or {@code refused}
	 */
	void requestEnded(String outcome) {
		this.registry.counter("gateway.requests." + outcome).inc();
	}

	void requestResent(String cause) {
		this.registry.counter("gateway.sent-again." + cause).inc();
	}

	void retryDecided(boolean granted) {
		this.registry.counter(granted ? "gateway.retries.granted" : "gateway.retries.denied").inc();
	}

	/**
	 * Records how long a long prompt was deferred before it was sent.
	 * @param nanos the duration
	 */
	void recordDeferral(long nanos) {
		timer("gateway.kept").update(nanos, TimeUnit.NANOSECONDS);
	}

	void recordFirstEvent(boolean longPrompt, long nanos) {
		timer(longPrompt ? "gateway.first-event.long" : "gateway.first-event.short").update(nanos,
				TimeUnit.NANOSECONDS);
	}

	void recordResponse(long nanos) {
		timer("gateway.answer").update(nanos, TimeUnit.NANOSECONDS);
	}

	private Timer timer(String name) {
		return this.registry.timer(name,
				() -> new Timer(new ExponentiallyDecayingReservoir(RESERVOIR_SIZE, DECAY_ALPHA)));
	}

}
