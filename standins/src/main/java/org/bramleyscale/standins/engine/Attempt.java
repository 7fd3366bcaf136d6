package org.bramleyscale.standins.engine;

import java.util.ArrayList;
import java.util.List;

import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.internal.endpoint.EngineUsage;

/**
 * One attempt at one engine.
 *
 * <p>
 * Invariant: each reader gets every token from its offset on, once and in order. Confined
 * to the scheduler's thread.
 */
final class Attempt {

	private final Generation generation;

	private final ExpectedAnswer answer;

	private final int promptTokens;

	private final long arrival;

	private final List<AttemptListener> readers = new ArrayList<>();

	private int cachedTokens;

	private long prefillLeft;

	private long made;

	private Phase phase = Phase.WAITING;

	Attempt(Generation generation, long arrival) {
		this.generation = generation;
		this.answer = generation.prompt().answer();
		this.promptTokens = generation.prompt().tokens();
		this.arrival = arrival;
		this.made = generation.firstOffset();
		this.prefillLeft = this.promptTokens + generation.firstOffset();
	}

	Generation generation() {
		return this.generation;
	}

	Phase phase() {
		return this.phase;
	}

	int promptTokens() {
		return this.promptTokens;
	}

	long arrival() {
		return this.arrival;
	}

	long prefillLeft() {
		return this.prefillLeft;
	}

	/**
	 * The memory it needs from start to end.
	 * @return tokens
	 */
	long kvTokens() {
		return this.promptTokens + (long) this.generation.maxTokens();
	}

	void start(int cached) {
		this.phase = Phase.RUNNING;
		this.cachedTokens = Math.min(cached, this.promptTokens);
		this.prefillLeft = Math.max(1, this.prefillLeft - this.cachedTokens);
	}

	void prefill(long tokens) {
		this.prefillLeft -= tokens;
	}

	/**
	 * Makes the next token; the last one ends the attempt.
	 */
	void makeToken() {
		if (this.made < this.generation.maxTokens()) {
			long offset = this.made++;
			String text = this.answer.token(offset);
			this.readers.forEach((reader) -> reader.frame(offset, 1, text));
		}
		if (this.made >= this.generation.maxTokens()) {
			this.phase = Phase.DONE;
			this.readers.forEach((reader) -> reader.done(usage()));
			this.readers.clear();
		}
	}

	void stop(Ran ran) {
		this.phase = Phase.STOPPED;
		this.readers.forEach((reader) -> reader.failed(ErrorCode.CANCELLED, ran, "the attempt was cancelled"));
		this.readers.clear();
	}

	void read(long offset, AttemptListener reader) {
		reader.accepted();
		if (offset < this.made) {
			reader.frame(offset, (int) (this.made - offset), this.answer.text(offset, this.made));
		}
		switch (this.phase) {
			case DONE -> reader.done(usage());
			case STOPPED -> reader.failed(ErrorCode.CANCELLED, Ran.YES, "the attempt was cancelled");
			default -> this.readers.add(reader);
		}
	}

	void forgetReaders() {
		this.readers.clear();
	}

	private EngineUsage usage() {
		return new EngineUsage(this.promptTokens, this.cachedTokens, this.generation.maxTokens(), "length");
	}

	/**
	 * Where an attempt is.
	 */
	enum Phase {

		/** Accepted, but not begun. */
		WAITING,

		/** Being worked on. */
		RUNNING,

		/** Completed. */
		DONE,

		/** Cancelled. */
		STOPPED

	}

}
