package org.bramleyscale.internal.gateway.request;

import java.time.Duration;

import org.bramleyscale.internal.gateway.catalog.Route;
import org.bramleyscale.internal.time.Clock;

/**
 * The arrival and deadline of one request, by the daemon's monotonic clock.
 *
 * <p>
 * Immutable, apart from the clock; confined to the scheduler's thread.
 */
final class RequestTimes {

	private final Clock clock;

	private final Route route;

	private final long arrivedAt;

	private final long deadline;

	/**
	 * Creates the times of a request that arrives now.
	 * @param clock the daemon's clock
	 * @param request the request
	 * @param route its route
	 */
	RequestTimes(Clock clock, CallerRequest request, Route route) {
		this.clock = clock;
		this.route = route;
		this.arrivedAt = clock.nanos();
		this.deadline = this.arrivedAt + request.timeWithin(route.timeout()).toNanos();
	}

	Duration elapsed() {
		return Duration.ofNanos(this.clock.nanos() - this.arrivedAt);
	}

	Duration left() {
		return Duration.ofNanos(this.deadline - this.clock.nanos());
	}

	/**
	 * How long the caller is expected to wait for the first event.
	 * @return the rest of the route's caller timeout or of the request's time, whichever
	 * is shorter
	 */
	Duration callerLeft() {
		Duration callerTimeoutLeft = this.route.callerTimeout().minus(elapsed());
		return (callerTimeoutLeft.compareTo(left()) < 0) ? callerTimeoutLeft : left();
	}

	/**
	 * Whether an answer that began now would be in time.
	 * @return false once the route's target latency has passed
	 */
	boolean withinTarget() {
		return elapsed().compareTo(this.route.targetLatency()) < 0;
	}

}
