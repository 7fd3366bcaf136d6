package org.bramleyscale.internal.gateway.retry;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.time.Clock;

/**
 * A retry budget for each service, over a sliding window.
 *
 * <p>
 * When endpoints fail for many callers, retries add load to the remaining endpoints and
 * the outage amplifies itself. Invariant: in any window, over all starts of all daemons,
 * at most a ratio of the requests plus a constant arrive beyond the first attempt of each
 * request.
 *
 * <p>
 * Each daemon keeps the ratio to its own requests in every window, not only in the last
 * one, and exceeds it by its {@link ConstantShare} at most. In a window in which it
 * starts it doesn't exceed it at all, because its predecessor may have used the share.
 * Thus only the shares of daemons that run at the begin of a window add to the ratio, and
 * these are parts of one constant. A retry counts from its reservation until it can't
 * arrive any more. Confined to the scheduler's thread. <pre>
 * budget.reserve(service, RetryUrgency.IN_TIME).ifPresent((permit) -&gt; {
 *     permit.sent();
 *     permit.arrived();
 * });
 * </pre>
 */
public final class RetryBudget {

	/** Number of intervals in which a window is counted. */
	private static final int INTERVALS = 100;

	/**
	 * How long an attempt that was given up may still be on its way to its endpoint; a
	 * connection on which nothing is acknowledged ends earlier.
	 */
	static final Duration MAX_TRANSIT = Duration.ofSeconds(2);

	private final Clock clock;

	private final Duration window;

	private final double ratio;

	private final ConstantShare share;

	private final long startedAt;

	private final Map<ServiceName, RetryWindow> windows = new HashMap<>();

	/**
	 * Creates a budget, of which nothing was used.
	 * @param clock the daemon's clock
	 * @param window the length of the window
	 * @param ratio the retries permitted for each request
	 * @param share this daemon's share of the retries permitted beyond the ratio
	 */
	public RetryBudget(Clock clock, Duration window, double ratio, ConstantShare share) {
		this.clock = clock;
		this.window = window;
		this.ratio = ratio;
		this.share = share;
		this.startedAt = clock.nanos();
	}

	/**
	 * Records the first attempt of a request.
	 * @param service the service
	 */
	public void recordRequest(ServiceName service) {
		if (this.share.requestsCount()) {
			window(service).addRequest(interval(this.clock.nanos()));
		}
	}

	/**
	 * Reserves a retry.
	 * @param service the service
	 * @param urgency what the retry is worth to its caller
	 * @return the permit, or empty if the budget is exhausted
	 */
	public Optional<RetryPermit> reserve(ServiceName service, RetryUrgency urgency) {
		RetryWindow used = window(service);
		long now = this.clock.nanos();
		boolean startsInWindow = interval(now) - interval(this.startedAt) <= INTERVALS;
		if (!used.permits(interval(now), startsInWindow, urgency.usable(this.share.retries()))) {
			return Optional.empty();
		}
		used.addPending();
		return Optional.of(new WindowPermit(used));
	}

	/**
	 * What this daemon has used of the budget of a service, for the log.
	 * @param service the service
	 * @return the usage now
	 */
	public RetryUsage usage(ServiceName service) {
		RetryWindow used = window(service);
		long now = this.clock.nanos();
		return new RetryUsage(used.requests(interval(now)), used.retries(interval(now)), used.pending(),
				this.share.retries(), Duration.ofNanos(now - this.startedAt));
	}

	private RetryWindow window(ServiceName service) {
		return this.windows.computeIfAbsent(service, (name) -> new RetryWindow(this.ratio, INTERVALS));
	}

	private long interval(long nanos) {
		return Math.floorDiv(nanos, this.window.toNanos() / INTERVALS);
	}

	/**
	 * A permit of this budget.
	 */
	private final class WindowPermit implements RetryPermit {

		private final RetryWindow used;

		private boolean sent;

		private boolean ended;

		private WindowPermit(RetryWindow used) {
			this.used = used;
		}

		@Override
		public void sent() {
			this.sent = true;
		}

		@Override
		public void notSent() {
			this.sent = false;
		}

		@Override
		public void arrived() {
			if (this.sent) {
				settle(Duration.ZERO);
			}
		}

		@Override
		public void end() {
			if (this.sent) {
				settle(MAX_TRANSIT);
			}
			else if (!this.ended) {
				this.ended = true;
				this.used.cancelPending();
			}
		}

		private void settle(Duration after) {
			if (!this.ended) {
				this.ended = true;
				this.used.settlePending(interval(RetryBudget.this.clock.nanos() + after.toNanos()));
			}
		}

	}

}
