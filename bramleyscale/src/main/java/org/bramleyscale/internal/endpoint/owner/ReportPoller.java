package org.bramleyscale.internal.endpoint.owner;

import java.time.Duration;
import java.util.function.Consumer;

import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.time.Clock;

/**
 * Polls one endpoint for its load report, with at most one call in progress.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class ReportPoller {

	/** A call without an answer within this time is abandoned and repeated. */
	private static final long ANSWER_TIMEOUT = Duration.ofSeconds(2).toNanos();

	private final Clock clock;

	private final EngineClient engines;

	private final Consumer<LoadReport> reports;

	private long requestedAt;

	private long reportRequestedAt;

	private boolean answered;

	private long lastRequest;

	private boolean pending;

	private int failures;

	ReportPoller(Clock clock, EngineClient engines, Consumer<LoadReport> reports) {
		this.clock = clock;
		this.engines = engines;
		this.reports = reports;
	}

	/**
	 * Requests a report if the last request is old enough.
	 * @param endpoint the endpoint
	 * @param period how often to poll
	 */
	void poll(EndpointEntry endpoint, Duration period) {
		long now = this.clock.nanos();
		long pause = this.pending ? Math.max(ANSWER_TIMEOUT, period.toNanos()) : period.toNanos();
		if (this.lastRequest > 0 && now - this.requestedAt < pause) {
			return;
		}
		this.pending = true;
		this.requestedAt = now;
		this.lastRequest++;
		long request = this.lastRequest;
		this.engines.report(endpoint).whenComplete((report, failure) -> received(request, report, failure));
	}

	/**
	 * Returns the age of the newest report, counted from when it was requested.
	 * @return the age in nanoseconds, or negative if there is none
	 */
	long age() {
		return this.answered ? this.clock.nanos() - this.reportRequestedAt : -1;
	}

	int failures() {
		return this.failures;
	}

	private void received(long request, LoadReport report, Throwable failure) {
		if (request != this.lastRequest) {
			return;
		}
		this.pending = false;
		if (failure != null || report == null) {
			this.failures++;
			return;
		}
		this.failures = 0;
		this.answered = true;
		this.reportRequestedAt = this.requestedAt;
		this.reports.accept(report);
	}

}
