package org.bramleyscale.internal.time;

import java.time.Duration;

/**
 * A task that schedules itself again after each run.
 *
 * <p>
 * Confined to the scheduler's thread, except for {@link #cancel()}.
 */
final class Repetition implements Cancellable {

	private final Scheduler scheduler;

	private final Duration pause;

	private final Runnable task;

	private volatile boolean cancelled;

	private volatile Cancellable next = () -> {
	};

	Repetition(Scheduler scheduler, Duration pause, Runnable task) {
		this.scheduler = scheduler;
		this.pause = pause;
		this.task = task;
	}

	Repetition start() {
		this.next = this.scheduler.schedule(this.pause, this::run);
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
