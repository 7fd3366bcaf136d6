package org.bramleyscale.internal.time;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

import org.jboss.logging.Logger;

/**
 * The scheduler of a running daemon: one thread and the machine's clocks.
 *
 * <p>
 * Invariant: an exception in one task is logged and never ends the thread; a daemon whose
 * thread has ended would keep its connections open and answer nobody. Safe for use by
 * multiple threads.
 */
public final class EventLoop implements Scheduler, AutoCloseable {

	private static final Logger logger = Logger.getLogger(EventLoop.class);

	private final ScheduledThreadPoolExecutor executor;

	public EventLoop(String name) {
		this.executor = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		});
		this.executor.setRemoveOnCancelPolicy(true);
		this.executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
	}

	@Override
	public long nanos() {
		return System.nanoTime();
	}

	@Override
	public Instant wallTime() {
		return Instant.now();
	}

	@Override
	public void execute(Runnable task) {
		if (!this.executor.isShutdown()) {
			this.executor.execute(guarded(task));
		}
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable task) {
		if (this.executor.isShutdown()) {
			return () -> {
			};
		}
		Future<?> future = this.executor.schedule(guarded(task), Math.max(0, delay.toNanos()), TimeUnit.NANOSECONDS);
		return () -> future.cancel(false);
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private static Runnable guarded(Runnable task) {
		return () -> {
			try {
				task.run();
			}
			catch (RuntimeException ex) {
				logger.error("A task of the event loop failed", ex);
			}
		};
	}

}
