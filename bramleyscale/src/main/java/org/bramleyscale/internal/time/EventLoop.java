package org.bramleyscale.internal.time;

import java.util.concurrent.ScheduledThreadPoolExecutor;

/**
 * The scheduler of a running daemon, which runs its tasks on a dedicated thread.
 *
 * <p>
 * Safe for use by multiple threads.
 */
public final class EventLoop extends ExecutorScheduler {

	private final ScheduledThreadPoolExecutor executor;

	public EventLoop(String name) {
		this(executor(name));
	}

	private EventLoop(ScheduledThreadPoolExecutor executor) {
		super(executor);
		this.executor = executor;
	}

	@Override
	protected boolean closed() {
		return this.executor.isShutdown();
	}

	@Override
	public void close() {
		this.executor.shutdownNow();
	}

	private static ScheduledThreadPoolExecutor executor(String name) {
		ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, (task) -> {
			Thread thread = new Thread(task, name);
			thread.setDaemon(true);
			return thread;
		});
		executor.setRemoveOnCancelPolicy(true);
		executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
		return executor;
	}

}
