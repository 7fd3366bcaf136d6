package org.bramleyscale.internal.gateway.request;

import java.util.concurrent.TimeUnit;

import com.codahale.metrics.ExponentiallyDecayingReservoir;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;

/**
 * Counts requests and measures their times.
 *
 * <p>
 * Safe for use by multiple threads.
 */
public final class GatewayMetrics {

	/** Samples kept by a histogram: 1 % of error at p95, 8 KB of memory. */
	private static final int SAMPLES = 512;

	private static final double RECENT = 0.015;

	private final MetricRegistry registry;

	public GatewayMetrics(MetricRegistry registry) {
		this.registry = registry;
	}

	/**
	 * Counts how a request ended.
	 * @param outcome for instance {@code completed} or {@code refused}
	 */
	void ended(String outcome) {
		this.registry.counter("gateway.requests." + outcome).inc();
	}

	void again(String cause) {
		this.registry.counter("gateway.sent-again." + cause).inc();
	}

	/**
	 * Measures for how long a long prompt was kept before it was sent.
	 * @param nanos the time
	 */
	void kept(long nanos) {
		timer("gateway.kept").update(nanos, TimeUnit.NANOSECONDS);
	}

	void firstEvent(boolean longPrompt, long nanos) {
		timer(longPrompt ? "gateway.first-event.long" : "gateway.first-event.short").update(nanos,
				TimeUnit.NANOSECONDS);
	}

	void answered(long nanos) {
		timer("gateway.answer").update(nanos, TimeUnit.NANOSECONDS);
	}

	private Timer timer(String name) {
		return this.registry.timer(name, () -> new Timer(new ExponentiallyDecayingReservoir(SAMPLES, RECENT)));
	}

}
