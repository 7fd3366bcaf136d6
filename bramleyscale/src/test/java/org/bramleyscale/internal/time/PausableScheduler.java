package org.bramleyscale.internal.time;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * The scheduler of one simulated daemon on a shared manual clock, which can be paused and
 * crashed. Tasks that fall due while it is paused run on resumption; after a crash none
 * runs. Confined to the test's thread.
 */
public final class PausableScheduler implements Scheduler {

	private final ManualScheduler clock;

	private final List<Runnable> deferred = new ArrayList<>();

	private boolean paused;

	private boolean crashed;

	public PausableScheduler(ManualScheduler clock) {
		this.clock = clock;
	}

	public void pause() {
		this.paused = true;
	}

	public void resume() {
		this.paused = false;
		List<Runnable> due = new ArrayList<>(this.deferred);
		this.deferred.clear();
		due.forEach(this::run);
	}

	public void crash() {
		this.crashed = true;
	}

	@Override
	public long nanos() {
		return this.clock.nanos();
	}

	@Override
	public Instant wallTime() {
		return this.clock.wallTime();
	}

	@Override
	public void execute(Runnable task) {
		schedule(Duration.ZERO, task);
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable task) {
		return this.clock.schedule(delay, () -> run(task));
	}

	private void run(Runnable task) {
		if (this.paused) {
			this.deferred.add(task);
		}
		else if (!this.crashed) {
			task.run();
		}
	}

}
