package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import org.bramleyscale.internal.endpoint.Amount;

/**
 * What this entry has in flight at one endpoint, and its recent peak.
 *
 * <p>
 * Invariant: equals the sum of the permits not yet closed. Confined to the scheduler's
 * thread.
 */
final class OwnUse {

	private static final long PEAK_WINDOW = Duration.ofSeconds(1).toNanos();

	private final Deque<Prefill> prefills = new ArrayDeque<>();

	private Amount inUse = Amount.NONE;

	private Amount peak = Amount.NONE;

	private Amount formerPeak = Amount.NONE;

	private long windowStart;

	private long uncoveredPrefillTokens;

	private int collection;

	private int generation;

	private long olderKv;

	Amount inUse() {
		return this.inUse;
	}

	/**
	 * The collection of memory heard of last.
	 * @return its number, or 0
	 */
	int collection() {
		return this.collection;
	}

	/**
	 * How often the collection heard of has changed. Unlike the number, which a new owner
	 * may use again, it tells whether a request began before the last change.
	 * @return the count
	 */
	int generation() {
		return this.generation;
	}

	/**
	 * The KV tokens of requests begun before that collection was heard of.
	 * @return the tokens
	 */
	long olderKv() {
		return this.olderKv;
	}

	/**
	 * Notes the collection that a grant tells of.
	 * @param number its number, or 0 if there is none
	 */
	void collecting(int number) {
		if (number != this.collection) {
			this.collection = number;
			this.generation++;
			this.olderKv = (number != 0) ? this.inUse.kvTokens() : 0;
		}
	}

	/**
	 * Prompt tokens sent that the newest report can't include.
	 * @return the tokens
	 */
	long uncoveredPrefillTokens() {
		return this.uncoveredPrefillTokens;
	}

	/**
	 * The most that was in flight in the last one to two windows.
	 * @param now the time
	 * @return the peak
	 */
	Amount peak(long now) {
		if (now - this.windowStart >= PEAK_WINDOW) {
			this.formerPeak = (now - this.windowStart < 2 * PEAK_WINDOW) ? this.peak : this.inUse;
			this.peak = this.inUse;
			this.windowStart = now;
		}
		return this.peak.max(this.formerPeak);
	}

	Prefill begin(Amount amount, int promptTokens, long now) {
		this.inUse = this.inUse.plus(amount);
		peak(now);
		this.peak = this.peak.max(this.inUse);
		Prefill prefill = new Prefill(promptTokens, now);
		this.prefills.addLast(prefill);
		this.uncoveredPrefillTokens += promptTokens;
		return prefill;
	}

	void computed(Prefill prefill) {
		if (this.prefills.remove(prefill) && !prefill.covered) {
			this.uncoveredPrefillTokens -= prefill.tokens;
		}
	}

	/**
	 * Takes out a request.
	 * @param amount what it used
	 * @param begunIn the generation in which it began
	 */
	void end(Amount amount, int begunIn) {
		this.inUse = this.inUse.minus(amount);
		if (begunIn != this.generation && this.collection != 0) {
			this.olderKv -= amount.kvTokens();
		}
	}

	/**
	 * Notes a report: prompts sent before it was made are in its figures.
	 * @param takenAt when the report was made, as far as is known
	 */
	void reported(long takenAt) {
		for (Prefill prefill : this.prefills) {
			if (!prefill.covered && prefill.sentAt - takenAt < 0) {
				prefill.covered = true;
				this.uncoveredPrefillTokens -= prefill.tokens;
			}
		}
	}

	/**
	 * A prompt sent whose first token hasn't come.
	 */
	static final class Prefill {

		private final int tokens;

		private final long sentAt;

		private boolean covered;

		private Prefill(int tokens, long sentAt) {
			this.tokens = tokens;
			this.sentAt = sentAt;
		}

	}

}
