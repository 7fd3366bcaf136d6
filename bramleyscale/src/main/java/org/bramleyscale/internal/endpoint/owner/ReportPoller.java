package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;
import java.util.function.Consumer;

import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.time.Clock;

/**
 * Asks one endpoint for its report, at most once at a time.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class ReportPoller {

	/** A report that didn't come within this time is given up and asked for again. */
	private static final long ANSWER_LIMIT = Duration.ofSeconds(2).toNanos();

	private final Clock clock;

	private final EngineClient engines;

	private final Consumer<LoadReport> reports;

	private long askedAt;

	private long answeredAskedAt;

	private boolean answered;

	private long round;

	private boolean asking;

	private int failures;

	ReportPoller(Clock clock, EngineClient engines, Consumer<LoadReport> reports) {
		this.clock = clock;
		this.engines = engines;
		this.reports = reports;
	}

	/**
	 * Asks if the last question is old enough.
	 * @param endpoint the endpoint
	 * @param period how often to ask
	 */
	void poll(EndpointEntry endpoint, Duration period) {
		long now = this.clock.nanos();
		long pause = this.asking ? Math.max(ANSWER_LIMIT, period.toNanos()) : period.toNanos();
		if (this.round > 0 && now - this.askedAt < pause) {
			return;
		}
		this.asking = true;
		this.askedAt = now;
		this.round++;
		long asked = this.round;
		this.engines.report(endpoint).whenComplete((report, failure) -> received(asked, report, failure));
	}

	/**
	 * How old the newest report is, counted from when it was asked for.
	 * @return the age in nanoseconds, or negative if there is none
	 */
	long age() {
		return this.answered ? this.clock.nanos() - this.answeredAskedAt : -1;
	}

	int failures() {
		return this.failures;
	}

	private void received(long asked, LoadReport report, Throwable failure) {
		if (asked != this.round) {
			return;
		}
		this.asking = false;
		if (failure != null || report == null) {
			this.failures++;
			return;
		}
		this.failures = 0;
		this.answered = true;
		this.answeredAskedAt = this.askedAt;
		this.reports.accept(report);
	}

}
