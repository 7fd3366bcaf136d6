package org.bramleyscale.internal.time;

import java.time.Duration;

/**
 * A task that is rescheduled after each run, with a fixed delay.
 *
 * <p>
 * Confined to the scheduler's thread, except for {@link #cancel()}.
 */
final class RepeatingTask implements Cancellable {

	private final Scheduler scheduler;

	private final Duration delay;

	private final Runnable task;

	private volatile boolean cancelled;

	private volatile Cancellable next = () -> {
	};

	RepeatingTask(Scheduler scheduler, Duration delay, Runnable task) {
		this.scheduler = scheduler;
		this.delay = delay;
		this.task = task;
	}

	RepeatingTask start() {
		this.next = this.scheduler.schedule(this.delay, this::run);
		return this;
	}

	@Override
	public void cancel() {
		this.cancelled = true;
		this.next.cancel();
	}

	private void run() {
		if (this.cancelled) {
			return;
		}
		try {
			this.task.run();
		}
		finally {
			if (!this.cancelled) {
				start();
			}
		}
	}

}
