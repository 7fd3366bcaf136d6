package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The scheduler of one daemon among several on a manual clock; it can be paused as a
 * whole, while the clock goes on, or ended for good.
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
	 * Drops all tasks, now and from now on, as the death of the process does.
	 */
	public void end() {
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
		this.shared.schedule(delay, () -> runOrHold(() -> {
			if (!cancelled[0]) {
				task.run();
			}
		}));
		return () -> cancelled[0] = true;
	}

	private void runOrHold(Runnable task) {
		if (this.paused && !this.ended) {
			this.pending.addLast(task);
		}
		else if (!this.ended) {
			task.run();
		}
	}

}
