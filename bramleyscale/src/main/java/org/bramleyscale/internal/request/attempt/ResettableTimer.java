package org.bramleyscale.internal.request.attempt;

import java.time.Duration;

import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A timer that is put off far more often than it fires.
 *
 * <p>
 * Each token puts the silence timer off. Scheduling and cancelling a task for each token
 * would cost more than handling the token, so a later due time is only noted, and the
 * task looks at it when it runs. Confined to the scheduler's thread.
 */
public final class ResettableTimer {

	private final Scheduler scheduler;

	private final Runnable task;

	private Cancellable scheduled;

	private long scheduledFor;

	private long due;

	private boolean running;

	public ResettableTimer(Scheduler scheduler, Runnable task) {
		this.scheduler = scheduler;
		this.task = task;
	}

	/**
	 * Starts the timer, or starts it anew.
	 * @param delay after which the task runs
	 */
	public void start(Duration delay) {
		this.due = this.scheduler.nanos() + Math.max(0, delay.toNanos());
		this.running = true;
		if (this.scheduled != null && this.scheduledFor - this.due <= 0) {
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
	 * Stops the timer for good and forgets the task that is scheduled.
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
		this.scheduledFor = this.due;
		this.scheduled = this.scheduler.schedule(Duration.ofNanos(this.due - this.scheduler.nanos()), this::fire);
	}

	private void fire() {
		this.scheduled = null;
		if (!this.running) {
			return;
		}
		if (this.due - this.scheduler.nanos() > 0) {
			schedule();
			return;
		}
		this.running = false;
		this.task.run();
	}

}
