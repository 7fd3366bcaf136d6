package org.bramleyscale.standins.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

import org.bramleyscale.internal.time.Scheduler;

/**
 * Continuous batching: steps that each compute a limited number of prompt tokens and make
 * a token for every request whose prompt is computed.
 *
 * <p>
 * Invariants: at most {@code slots} attempts run; the waiting ones begin in the order of
 * priority, then of arrival, and none goes past the first. Confined to the scheduler's
 * thread.
 */
final class Batch {

	private static final int SLOWDOWN = 10;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private static final Comparator<Attempt> ORDER = Comparator
		.comparingInt((Attempt attempt) -> -attempt.generation().priority())
		.thenComparingLong(Attempt::arrival);

	private final EngineParameters parameters;

	private final Scheduler scheduler;

	private final Admission admission;

	private final TreeSet<Attempt> waiting = new TreeSet<>(ORDER);

	private final List<Attempt> running = new ArrayList<>();

	private boolean stepping;

	private boolean frozen;

	private boolean slow;

	Batch(EngineParameters parameters, Scheduler scheduler, Admission admission) {
		this.parameters = parameters;
		this.scheduler = scheduler;
		this.admission = admission;
	}

	void add(Attempt attempt) {
		this.waiting.add(attempt);
		wake();
	}

	/**
	 * Takes an attempt out, at whichever point it is.
	 * @param attempt the attempt
	 */
	void remove(Attempt attempt) {
		boolean waited = this.waiting.remove(attempt);
		if (waited || this.running.remove(attempt)) {
			this.admission.ended(attempt, !waited);
		}
		wake();
	}

	int waitingCount() {
		return this.waiting.size();
	}

	int runningCount() {
		return this.running.size();
	}

	long queuedPrefillTokens() {
		return this.waiting.stream().mapToLong(Attempt::prefillLeft).sum()
				+ this.running.stream().mapToLong(Attempt::prefillLeft).sum();
	}

	void freeze(boolean newFrozen) {
		this.frozen = newFrozen;
		wake();
	}

	void slow(boolean newSlow) {
		this.slow = newSlow;
	}

	/**
	 * Begins what fits and schedules the next step if there is work.
	 */
	void wake() {
		if (this.stepping || this.frozen) {
			return;
		}
		begin();
		if (this.running.isEmpty()) {
			return;
		}
		this.stepping = true;
		List<Chunk> chunks = chunks();
		List<Attempt> making = this.running.stream().filter(Predicate.not(Batch::inPrefill)).toList();
		this.scheduler.schedule(stepTime(chunks, !making.isEmpty()), () -> step(chunks, making));
	}

	/**
	 * Fills the step's prompt tokens in the order of priority, then of arrival.
	 * @return the prompt tokens of each attempt that has a part in the step
	 */
	private List<Chunk> chunks() {
		List<Chunk> chunks = new ArrayList<>();
		long left = this.parameters.chunkTokens();
		for (Attempt attempt : this.running.stream().filter(Batch::inPrefill).sorted(ORDER).toList()) {
			long tokens = Math.min(left, attempt.prefillLeft());
			if (tokens == 0) {
				break;
			}
			chunks.add(new Chunk(attempt, tokens));
			left -= tokens;
		}
		return chunks;
	}

	private void begin() {
		while (!this.waiting.isEmpty() && this.running.size() < this.parameters.slots()
				&& this.admission.begin(this.waiting.first())) {
			this.running.add(this.waiting.pollFirst());
		}
	}

	private void step(List<Chunk> chunks, List<Attempt> making) {
		this.stepping = false;
		if (this.frozen) {
			return;
		}
		for (Chunk chunk : chunks) {
			if (chunk.attempt.phase() == Attempt.Phase.RUNNING) {
				chunk.attempt.prefill(chunk.tokens);
			}
			if (!inPrefill(chunk.attempt)) {
				makeToken(chunk.attempt);
			}
		}
		making.forEach(this::makeToken);
		wake();
	}

	private void makeToken(Attempt attempt) {
		if (attempt.phase() != Attempt.Phase.RUNNING) {
			return;
		}
		attempt.makeToken();
		if (attempt.phase() == Attempt.Phase.DONE) {
			this.running.remove(attempt);
			this.admission.ended(attempt, true);
		}
	}

	private Duration stepTime(List<Chunk> chunks, boolean making) {
		long tokens = chunks.stream().mapToLong(Chunk::tokens).sum();
		long nanos = tokens * NANOS_PER_SECOND / this.parameters.prefillTokensPerSecond();
		if (making) {
			nanos += this.parameters.stepTime().toNanos();
		}
		return Duration.ofNanos(this.slow ? SLOWDOWN * nanos : nanos);
	}

	private static boolean inPrefill(Attempt attempt) {
		return attempt.prefillLeft() > 0;
	}

	/**
	 * Prompt tokens of one attempt that one step computes.
	 */
	private record Chunk(Attempt attempt, long tokens) {
	}

	/**
	 * Decides on memory.
	 */
	interface Admission {

		/**
		 * Takes the memory for an attempt.
		 * @param attempt the attempt
		 * @return false if there is too little
		 */
		boolean begin(Attempt attempt);

		/**
		 * Gives the memory of an attempt back.
		 * @param attempt the attempt
		 * @param begun whether it had begun
		 */
		void ended(Attempt attempt, boolean begun);

	}

}
