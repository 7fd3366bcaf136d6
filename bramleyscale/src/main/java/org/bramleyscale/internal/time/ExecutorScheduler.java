package org.bramleyscale.internal.time;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

/**
 * A scheduler based on a single-threaded executor and the system clocks.
 *
 * <p>
 * Invariant: an exception or error in one task is logged and never terminates the thread;
 * a daemon whose thread has terminated would keep its connections open without answering
 * any request. Safe for use by multiple threads.
 */
public abstract class ExecutorScheduler implements Scheduler, AutoCloseable {

	private static final Logger logger = Logger.getLogger(ExecutorScheduler.class);

	private final ScheduledExecutorService executor;

	protected ExecutorScheduler(ScheduledExecutorService executor) {
		this.executor = executor;
	}

	/**
	 * Whether the scheduler has been closed and drops new tasks.
	 * @return true once closed
	 */
	protected abstract boolean closed();

	@Override
	public final long nanos() {
		return System.nanoTime();
	}

	@Override
	public final Instant wallTime() {
		return Instant.now();
	}

	@Override
	public final void execute(Runnable task) {
		if (!closed()) {
			this.executor.execute(guarded(task));
		}
	}

	@Override
	public final Cancellable schedule(Duration delay, Runnable task) {
		if (closed()) {
			return () -> {
			};
		}
		Future<?> future = this.executor.schedule(guarded(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
		return () -> future.cancel(false);
	}

	private static Runnable guarded(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException | Error ex) {
				logger.error("Task of the event loop failed", ex);
			}
		};
	}

}
