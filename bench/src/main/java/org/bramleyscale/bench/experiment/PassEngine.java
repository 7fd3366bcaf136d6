package org.bramleyscale.bench.experiment;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

import org.bramleyscale.internal.gateway.catalog.EngineProfile;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A modelled engine that works in passes as operators describe their engines: in a pass
 * of many steps each writer gets one event, and prompts are prefilled a chunk a step, all
 * alike. Without writers a pass is one step.
 *
 * <p>
 * Not safe for use by multiple threads.
 */
final class PassEngine {

	private static final double NANOS_PER_MILLI = 1_000_000;

	/** Less than this of a part, in tokens, is a rounding error. */
	private static final double DONE = 1e-6;

	private final Scheduler scheduler;

	private final EngineProfile profile;

	private final List<Part> pending = new ArrayList<>();

	private final Deque<Writer> queued = new ArrayDeque<>();

	private final List<Writer> writers = new ArrayList<>();

	private boolean busy;

	private int helping;

	PassEngine(Scheduler scheduler, EngineProfile profile) {
		this.scheduler = scheduler;
		this.profile = profile;
	}

	/**
	 * Prefills a part of a prompt.
	 * @param kind what it is a part of, for the account of long passes
	 * @param tokens the part's length
	 * @param millis the time it takes by itself
	 * @param helps true if another engine writes the answer
	 * @param done called when it has been prefilled
	 */
	void prefill(String kind, double tokens, double millis, boolean helps, Runnable done) {
		if (helps) {
			this.helping++;
		}
		this.pending.add(new Part(kind, tokens, millis / tokens, () -> {
			this.helping -= helps ? 1 : 0;
			done.run();
		}));
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
	 * Decodes an answer.
	 * @param events its events
	 * @param context tokens in memory
	 * @param listener told of each event
	 */
	void decode(int events, long context, EventListener listener) {
		this.queued.addLast(new Writer(events, context, listener));
		pass();
	}

	private void pass() {
		if (this.busy) {
			return;
		}
		while (this.writers.size() < this.profile.slots() && !this.queued.isEmpty()) {
			this.writers.add(this.queued.pollFirst());
		}
		if (this.writers.isEmpty() && this.pending.isEmpty()) {
			return;
		}
		this.busy = true;
		PassPrefill prefill = new PassPrefill();
		List<Writer> writing = List.copyOf(this.writers);
		int steps = writing.isEmpty() ? 1 : this.profile.stride();
		prefillEvenly((double) steps * this.profile.chunk(), prefill);
		double millis = prefill.millis;
		if (!writing.isEmpty()) {
			long context = writing.stream().mapToLong((writer) -> writer.context).sum();
			millis += this.profile.passMillis(writing.size(), context);
		}
		this.scheduler.schedule(Duration.ofNanos((long) (millis * NANOS_PER_MILLI)), () -> end(prefill, writing));
	}

	/**
	 * Prefills all parts alike, so that short ones complete early and long ones last.
	 * @param tokens how much is prefilled in all
	 * @param prefill records what is prefilled
	 */
	private void prefillEvenly(double tokens, PassPrefill prefill) {
		double left = tokens;
		List<Part> byLength = new ArrayList<>(this.pending);
		byLength.sort(Comparator.comparingDouble((part) -> part.tokens));
		for (int i = 0; i < byLength.size(); i++) {
			Part part = byLength.get(i);
			double prefilled = Math.min(part.tokens, left / (byLength.size() - i));
			left -= prefilled;
			part.tokens -= prefilled;
			prefill.add(part.kind, prefilled * part.millisPerToken);
			if (part.tokens <= DONE) {
				prefill.done.add(part.done);
				this.pending.remove(part);
			}
		}
	}

	private void end(PassPrefill prefill, List<Writer> writing) {
		this.busy = false;
		prefill.done.forEach(Runnable::run);
		for (Writer writer : writing) {
			writer.left--;
			if (writer.left == 0) {
				this.writers.remove(writer);
			}
			writer.listener.event(prefill.mostly);
		}
		pass();
	}

	/**
	 * Told of the events of one answer.
	 */
	@FunctionalInterface
	interface EventListener {

		/**
		 * An event was written.
		 * @param mostPrefilled the kind of which most was prefilled in the pass before
		 * it, or null if nothing was
		 */
		void event(String mostPrefilled);

	}

	/**
	 * What is prefilled in one pass.
	 */
	private static final class PassPrefill {

		private final List<Runnable> done = new ArrayList<>();

		private double millis;

		private double most;

		private String mostly;

		private void add(String kind, double partMillis) {
			this.millis += partMillis;
			if (partMillis > this.most) {
				this.most = partMillis;
				this.mostly = kind;
			}
		}

	}

	/**
	 * A part of a prompt.
	 */
	private static final class Part {

		private final String kind;

		private final double millisPerToken;

		private final Runnable done;

		private double tokens;

		private Part(String kind, double tokens, double millisPerToken, Runnable done) {
			this.kind = kind;
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

		private final EventListener listener;

		private int left;

		private Writer(int events, long context, EventListener listener) {
			this.left = events;
			this.context = context;
			this.listener = listener;
		}

	}

}
