package org.bramleyscale.internal.configuration;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/**
 * The counters of this slice.
 *
 * <p>
 * Safe for use by multiple threads.
 */
final class ConfigurationMetrics {

	private final Counter deltas;

	private final Counter snapshots;

	private final Counter mismatches;

	private final Counter accepted;

	private final Counter conflicts;

	private final Counter unknownOutcomes;

	ConfigurationMetrics(MetricRegistry registry) {
		this.deltas = registry.counter("configuration.deltas");
		this.snapshots = registry.counter("configuration.snapshots");
		this.mismatches = registry.counter("configuration.mismatches");
		this.accepted = registry.counter("configuration.accepted");
		this.conflicts = registry.counter("configuration.conflicts");
		this.unknownOutcomes = registry.counter("configuration.unknownOutcomes");
	}

	void deltaApplied() {
		this.deltas.inc();
	}

	void snapshotApplied() {
		this.snapshots.inc();
	}

	/** Content didn't have the hash it was announced with, or one version had two. */
	void mismatch() {
		this.mismatches.inc();
	}

	void accepted() {
		this.accepted.inc();
	}

	void conflict() {
		this.conflicts.inc();
	}

	void unknownOutcome() {
		this.unknownOutcomes.inc();
	}

}
