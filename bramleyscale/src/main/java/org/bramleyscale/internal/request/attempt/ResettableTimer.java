package org.bramleyscale.internal.request.attempt;

import java.time.Duration;

import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A timer that is cheap to reset, for timeouts that are reset far more often than they
 * fire.
 *
 * <p>
 * Each token resets the silence timer. Scheduling and cancelling a task for each token
 * would cost more than handling the token, so a reset to a later time only stores the new
 * due time, and the scheduled task checks it when it runs. Confined to the scheduler's
 * thread.
 */
public final class ResettableTimer {

	private final Scheduler scheduler;

	private final Runnable task;

	private Cancellable scheduled;

	private long scheduledAt;

	private long dueAt;

	private boolean running;

	public ResettableTimer(Scheduler scheduler, Runnable task) {
		this.scheduler = scheduler;
		this.task = task;
	}

	/**
	 * Starts or restarts the timer.
	 * @param delay the delay after which the task runs
	 */
	public void start(Duration delay) {
		this.dueAt = this.scheduler.nanos() + Math.max(0, delay.toNanos());
		this.running = true;
		if (this.scheduled != null && this.scheduledAt - this.dueAt <= 0) {
			return;
		}
		if (this.scheduled != null) {
			this.scheduled.cancel();
		}
		schedule();
	}

	public void stop() {
		this.running = false;
	}

	/**
	 * Stops the timer and cancels the scheduled task.
	 */
	public void close() {
		stop();
		if (this.scheduled != null) {
			this.scheduled.cancel();
			this.scheduled = null;
		}
	}

	public boolean running() {
		return this.running;
	}

	private void schedule() {
		this.scheduledAt = this.dueAt;
		this.scheduled = this.scheduler.schedule(Duration.ofNanos(this.dueAt - this.scheduler.nanos()), this::fire);
	}

	private void fire() {
		this.scheduled = null;
		if (!this.running) {
			return;
		}
		if (this.dueAt - this.scheduler.nanos() > 0) {
			schedule();
			return;
		}
		this.running = false;
		this.task.run();
	}

}
