package org.bramleyscale.internal.request.forward;

import java.time.Duration;

import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The deadline of a forwarded request at the entry.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class ForwardDeadline {

	private static final long MARGIN_DIVISOR = 20;

	private static final Duration LARGEST_MARGIN = Duration.ofMillis(50);

	private final Scheduler scheduler;

	private final long due;

	private final Cancellable timer;

	/**
	 * Starts the time.
	 * @param scheduler the scheduler
	 * @param time how long the request may take, or null if only its home knows
	 * @param passed run once the time is up
	 */
	ForwardDeadline(Scheduler scheduler, Duration time, Runnable passed) {
		this.scheduler = scheduler;
		this.due = scheduler.nanos() + ((time != null) ? time.toNanos() : 0);
		this.timer = (time != null) ? scheduler.schedule(time, passed) : () -> {
		};
	}

	Duration left() {
		return Duration.ofNanos(this.due - this.scheduler.nanos());
	}

	/**
	 * The time that the home gets: a little less than is left here, so that the home's
	 * answer to a passed deadline, which knows more, arrives before this entry has to
	 * answer by itself.
	 * @return the time
	 */
	Duration leftAtHome() {
		Duration left = left();
		Duration margin = left.dividedBy(MARGIN_DIVISOR);
		return left.minus((margin.compareTo(LARGEST_MARGIN) < 0) ? margin : LARGEST_MARGIN);
	}

	void close() {
		this.timer.cancel();
	}

}
