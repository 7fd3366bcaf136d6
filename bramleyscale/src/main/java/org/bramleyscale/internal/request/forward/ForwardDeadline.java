package org.bramleyscale.internal.request.forward;

import java.time.Duration;

import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The deadline of a forwarded request at the entry daemon.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class ForwardDeadline {

	private static final long MARGIN_DIVISOR = 20;

	private static final Duration MAX_MARGIN = Duration.ofMillis(50);

	private final Scheduler scheduler;

	private final long dueAt;

	private final Cancellable timer;

	/**
	 * Starts the timer.
	 * @param scheduler the scheduler
	 * @param time the time left, or null if only the home daemon knows the deadline
	 * @param onDeadline run when the deadline passes
	 */
	ForwardDeadline(Scheduler scheduler, Duration time, Runnable onDeadline) {
		this.scheduler = scheduler;
		this.dueAt = scheduler.nanos() + ((time != null) ? time.toNanos() : 0);
		this.timer = (time != null) ? scheduler.schedule(time, onDeadline) : () -> {
		};
	}

	Duration timeLeft() {
		return Duration.ofNanos(this.dueAt - this.scheduler.nanos());
	}

	/**
	 * Returns the time left for the home daemon. It is slightly shorter than the time
	 * left here, so that the home daemon's deadline failure, which has more detail,
	 * arrives before this entry daemon reports its own.
	 * @return the time
	 */
	Duration timeLeftAtHome() {
		Duration timeLeft = timeLeft();
		Duration margin = timeLeft.dividedBy(MARGIN_DIVISOR);
		return timeLeft.minus((margin.compareTo(MAX_MARGIN) < 0) ? margin : MAX_MARGIN);
	}

	void close() {
		this.timer.cancel();
	}

}
