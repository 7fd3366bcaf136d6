package org.bramleyscale.internal.request;

import java.util.Locale;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.Ran;
import org.bramleyscale.internal.request.life.Outcome;

/**
 * Metrics of requests and their outcomes. Safe for use by multiple threads.
 */
public final class RequestMetrics {

	private static final String PREFIX = "request.";

	private final MetricRegistry registry;

	private final Counter admitted;

	private final Counter lateFrames;

	private final Counter retries;

	private final Counter resumes;

	private final Counter continuations;

	private final Counter cancelsSent;

	private final Counter cancelsConfirmed;

	private final Counter forwards;

	private final Counter homesLost;

	private final Counter replays;

	public RequestMetrics(MetricRegistry registry) {
		this.registry = registry;
		this.admitted = registry.counter(PREFIX + "admitted");
		this.lateFrames = registry.counter(PREFIX + "lateFrames");
		this.retries = registry.counter(PREFIX + "retries");
		this.resumes = registry.counter(PREFIX + "resumes");
		this.continuations = registry.counter(PREFIX + "continuations");
		this.cancelsSent = registry.counter(PREFIX + "cancelsSent");
		this.cancelsConfirmed = registry.counter(PREFIX + "cancelsConfirmed");
		this.forwards = registry.counter(PREFIX + "forwards");
		this.homesLost = registry.counter(PREFIX + "homesLost");
		this.replays = registry.counter(PREFIX + "replays");
	}

	/**
	 * Counts an outcome.
	 * @param outcome the outcome
	 * @param ran whether the request ran
	 */
	public void ended(Outcome outcome, Ran ran) {
		String name = PREFIX + outcome.name().toLowerCase(Locale.ROOT);
		this.registry.counter(name).inc();
		if (outcome != Outcome.COMPLETED) {
			this.registry.counter(name + ".ran." + ran.name().toLowerCase(Locale.ROOT)).inc();
		}
	}

	public void admitted() {
		this.admitted.inc();
	}

	public void lateFrame() {
		this.lateFrames.inc();
	}

	public void retried() {
		this.retries.inc();
	}

	public void resumed() {
		this.resumes.inc();
	}

	public void continued() {
		this.continuations.inc();
	}

	public void cancelSent() {
		this.cancelsSent.inc();
	}

	public void cancelConfirmed() {
		this.cancelsConfirmed.inc();
	}

	public void forwarded() {
		this.forwards.inc();
	}

	public void homeLost() {
		this.homesLost.inc();
	}

	public void replayed() {
		this.replays.inc();
	}

}
