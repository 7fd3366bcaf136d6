package org.bramleyscale.internal.time;

import java.time.Duration;
import java.time.Instant;
import java.util.PriorityQueue;

/**
 * A scheduler whose time advances only on request.
 *
 * <p>
 * Used by unit tests and benchmarks. <pre>
 * ManualScheduler scheduler = new ManualScheduler();
 * scheduler.schedule(Duration.ofSeconds(1), task);
 * scheduler.advance(Duration.ofSeconds(1)); // runs the task
 * </pre>
 *
 * <p>
 * Not safe for use by multiple threads.
 */
public final class ManualScheduler implements Scheduler {

	private static final Instant ORIGIN = Instant.parse("2026-01-01T00:00:00Z");

	private final PriorityQueue<Entry> queue = new PriorityQueue<>();

	private long now;

	private long wallOffset;

	private long nextSequence;

	@Override
	public long nanos() {
		return this.now;
	}

	@Override
	public Instant wallTime() {
		return ORIGIN.plusNanos(this.now + this.wallOffset);
	}

	/**
	 * Steps the time of day without advancing the monotonic time.
	 * @param step the step, in either direction
	 */
	public void stepWallTime(Duration step) {
		this.wallOffset += step.toNanos();
	}

	@Override
	public void execute(Runnable task) {
		schedule(Duration.ZERO, task);
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable task) {
		Entry entry = new Entry(this.now + Math.max(0, delay.toNanos()), this.nextSequence++, task);
		this.queue.add(entry);
		return () -> entry.cancelled = true;
	}

	/**
	 * Advances the time and runs each task at its due time.
	 * @param span the time to advance by
	 */
	public void advance(Duration span) {
		long end = this.now + span.toNanos();
		while (!this.queue.isEmpty() && this.queue.peek().due <= end) {
			Entry entry = this.queue.poll();
			this.now = Math.max(this.now, entry.due);
			if (!entry.cancelled) {
				entry.task.run();
			}
		}
		this.now = end;
	}

	/**
	 * Runs the tasks that are due now without advancing the time.
	 */
	public void runDue() {
		advance(Duration.ZERO);
	}

	/**
	 * A queued task, ordered by due time, then by submission.
	 */
	private static final class Entry implements Comparable<Entry> {

		private final long due;

		private final long sequence;

		private final Runnable task;

		private boolean cancelled;

		private Entry(long due, long sequence, Runnable task) {
			this.due = due;
			this.sequence = sequence;
			this.task = task;
		}

		@Override
		public int compareTo(Entry other) {
			int byDue = Long.compare(this.due, other.due);
			return (byDue != 0) ? byDue : Long.compare(this.sequence, other.sequence);
		}

	}

}
