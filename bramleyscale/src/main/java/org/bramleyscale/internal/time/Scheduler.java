package org.bramleyscale.internal.time;

import java.time.Duration;

/**
 * Runs tasks on the single thread on which all of a daemon's state is accessed.
 *
 * <p>
 * Invariant: tasks run one at a time, in the order of their due times and, for equal due
 * times, in the order of submission. {@link #execute} and {@link #schedule} may be called
 * from any thread; components access their state only from tasks.
 */
public interface Scheduler extends Clock {

	/**
	 * Runs a task as soon as the tasks submitted before it have run.
	 * @param task the task; must not block
	 */
	void execute(Runnable task);

	/**
	 * Runs a task after a delay.
	 * @param delay the delay; zero or negative means as soon as possible
	 * @param task the task; must not block
	 * @return a handle that cancels the task if it hasn't run
	 */
	Cancellable schedule(Duration delay, Runnable task);

	/**
	 * Runs a task repeatedly, with a fixed delay between the end of one run and the start
	 * of the next.
	 * @param delay the delay, which also precedes the first run
	 * @param task the task; must not block
	 * @return a handle that stops the repetition
	 */
	default Cancellable repeat(Duration delay, Runnable task) {
		return new RepeatingTask(this, delay, task).start();
	}

}
