package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.time.Instant;

import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.ManualScheduler;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The scheduler of one process that may stand still while the others run. What falls due
 * meanwhile runs when it goes on; its monotonic clock counts that time. Confined to the
 * test's thread.
 */
final class FreezableScheduler implements Scheduler {

	private final ManualScheduler time;

	private long frozenUntil;

	FreezableScheduler(ManualScheduler time) {
		this.time = time;
		this.frozenUntil = time.nanos();
	}

	void freeze(Duration span) {
		this.frozenUntil = Math.max(this.frozenUntil, this.time.nanos() + span.toNanos());
	}

	@Override
	public long nanos() {
		return this.time.nanos();
	}

	@Override
	public Instant wallTime() {
		return this.time.wallTime();
	}

	@Override
	public void execute(Runnable task) {
		schedule(Duration.ZERO, task);
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable task) {
		Delayed delayed = new Delayed(task);
		delayed.cancellation = this.time.schedule(delay, delayed::due);
		return () -> delayed.cancellation.cancel();
	}

	/**
	 * A task that waits until the process runs.
	 */
	private final class Delayed {

		private final Runnable task;

		private Cancellable cancellation;

		private Delayed(Runnable task) {
			this.task = task;
		}

		private void due() {
			long left = FreezableScheduler.this.frozenUntil - FreezableScheduler.this.time.nanos();
			if (left > 0) {
				this.cancellation = FreezableScheduler.this.time.schedule(Duration.ofNanos(left), this::due);
			}
			else {
				this.task.run();
			}
		}

	}

}
