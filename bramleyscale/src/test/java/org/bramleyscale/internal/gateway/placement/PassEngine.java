package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A fake engine that works in passes as operators describe their engines: in a pass each
 * writer gets one event, and waiting prompts are read up to a bound, helpers' parts
 * first.
 *
 * <p>
 * Not safe for use by multiple threads.
 */
final class PassEngine {

	private static final double NANOS_PER_MILLI = 1_000_000;

	private final Scheduler scheduler;

	private final EngineProfile profile;

	private final Deque<Part> unread = new ArrayDeque<>();

	private final Deque<Writer> queued = new ArrayDeque<>();

	private final List<Writer> writers = new ArrayList<>();

	private boolean busy;

	private int helping;

	PassEngine(Scheduler scheduler, EngineProfile profile) {
		this.scheduler = scheduler;
		this.profile = profile;
	}

	/**
	 * Reads a part of a prompt.
	 * @param tokens the part's length
	 * @param millis the time it takes by itself
	 * @param helping true if another engine writes the answer
	 * @param done called when it has been read
	 */
	void read(double tokens, double millis, boolean helping, Runnable done) {
		Part part = new Part(tokens, millis / tokens, helping ? () -> {
			this.helping--;
			done.run();
		} : done);
		if (helping) {
			this.helping++;
			this.unread.addFirst(part);
		}
		else {
			this.unread.addLast(part);
		}
		pass();
	}

	/**
	 * Whether it agrees to help one more.
	 * @return false if it helps as many as it has slots
	 */
	boolean helps() {
		return this.helping < this.profile.slots();
	}

	/**
	 * Writes an answer.
	 * @param events its events
	 * @param context tokens in memory
	 * @param event called for each event
	 */
	void write(int events, long context, Runnable event) {
		this.queued.addLast(new Writer(events, context, event));
		pass();
	}

	private void pass() {
		if (this.busy) {
			return;
		}
		while (this.writers.size() < this.profile.slots() && !this.queued.isEmpty()) {
			this.writers.add(this.queued.pollFirst());
		}
		if (this.writers.isEmpty() && this.unread.isEmpty()) {
			return;
		}
		this.busy = true;
		double millis = 0;
		double budget = (double) this.profile.stride() * this.profile.chunk();
		List<Runnable> read = new ArrayList<>();
		while (budget > 0 && !this.unread.isEmpty()) {
			Part part = this.unread.peekFirst();
			double tokens = Math.min(budget, part.tokens);
			budget -= tokens;
			millis += tokens * part.millisPerToken;
			part.tokens -= tokens;
			if (part.tokens <= 0) {
				read.add(part.done);
				this.unread.pollFirst();
			}
		}
		List<Writer> writing = List.copyOf(this.writers);
		if (!writing.isEmpty()) {
			long context = writing.stream().mapToLong((writer) -> writer.context).sum();
			millis += this.profile.passMillis(writing.size(), context);
		}
		this.scheduler.schedule(Duration.ofNanos((long) (millis * NANOS_PER_MILLI)), () -> end(read, writing));
	}

	private void end(List<Runnable> read, List<Writer> writing) {
		this.busy = false;
		read.forEach(Runnable::run);
		for (Writer writer : writing) {
			writer.left--;
			if (writer.left == 0) {
				this.writers.remove(writer);
			}
			writer.event.run();
		}
		pass();
	}

	/**
	 * A part of a prompt.
	 */
	private static final class Part {

		private final double millisPerToken;

		private final Runnable done;

		private double tokens;

		private Part(double tokens, double millisPerToken, Runnable done) {
			this.tokens = tokens;
			this.millisPerToken = millisPerToken;
			this.done = done;
		}

	}

	/**
	 * An answer being written.
	 */
	private static final class Writer {

		private final long context;

		private final Runnable event;

		private int left;

		private Writer(int events, long context, Runnable event) {
			this.left = events;
			this.context = context;
			this.event = event;
		}

	}

}
