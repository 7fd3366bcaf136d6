package org.bramleyscale.internal.http;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.ServingException;

/**
 * Counts what callers get.
 *
 * <p>
 * Safe for use by multiple threads.
 */
final class EntryMetrics {

	private final MetricRegistry registry;

	private final Counter readersLost;

	EntryMetrics(MetricRegistry registry) {
		this.registry = registry;
		this.readersLost = registry.counter("entry.readersLost");
	}

	void failed(ServingException failure) {
		this.registry.counter("entry.failed." + failure.code()).inc();
	}

	/**
	 * A stream ended because its reader had gone or was too slow.
	 */
	void readerLost() {
		this.readersLost.inc();
	}

}
