package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The scheduler of one of several daemons that share a manual clock. It can be paused
 * while the clock advances, or ended permanently.
 */
public final class PausableScheduler implements Scheduler {

	private final Scheduler shared;

	private final Deque<Runnable> pending = new ArrayDeque<>();

	private boolean paused;

	private boolean ended;

	public PausableScheduler(Scheduler shared) {
		this.shared = shared;
	}

	public void pause() {
		this.paused = true;
	}

	public void resume() {
		this.paused = false;
		while (!this.paused && !this.pending.isEmpty()) {
			this.pending.removeFirst().run();
		}
	}

	/**
	 * Drops all pending and future tasks, like a crash of the process.
	 */
	public void crash() {
		this.ended = true;
		this.pending.clear();
	}

	@Override
	public long nanos() {
		return this.shared.nanos();
	}

	@Override
	public Instant wallTime() {
		return this.shared.wallTime();
	}

	@Override
	public void execute(Runnable task) {
		schedule(Duration.ZERO, task);
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable task) {
		boolean[] cancelled = new boolean[1];
		this.shared.schedule(delay, () -> runOrDefer(() -> {
			if (!cancelled[0]) {
				task.run();
			}
		}));
		return () -> cancelled[0] = true;
	}

	private void runOrDefer(Runnable task) {
		if (this.paused && !this.ended) {
			this.pending.addLast(task);
		}
		else if (!this.ended) {
			task.run();
		}
	}

}
