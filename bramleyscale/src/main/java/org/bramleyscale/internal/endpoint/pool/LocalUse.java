package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

import org.bramleyscale.internal.endpoint.Amount;

/**
 * Tracks what this entry has in flight at one endpoint, and the recent peak.
 *
 * <p>
 * Invariant: the amount in use is the sum of the permits that are not closed. Confined to
 * the scheduler's thread.
 */
final class LocalUse {

	private static final long PEAK_WINDOW = Duration.ofSeconds(1).toNanos();

	private final Deque<Prefill> prefills = new ArrayDeque<>();

	private Amount inUse = Amount.NONE;

	private Amount peak = Amount.NONE;

	private Amount formerPeak = Amount.NONE;

	private long windowStart;

	private long uncoveredPrefillTokens;

	private int collection;

	private int generation;

	private long kvBeforeCollection;

	Amount inUse() {
		return this.inUse;
	}

	/**
	 * Returns the memory collection announced by the last grant.
	 * @return its number, or 0
	 */
	int collection() {
		return this.collection;
	}

	/**
	 * Returns how often the announced collection has changed. Unlike the collection's
	 * number, which a new owner may reuse, it shows whether a request began before the
	 * last change.
	 * @return the count
	 */
	int generation() {
		return this.generation;
	}

	/**
	 * Returns the KV tokens of requests begun before the current collection was
	 * announced.
	 * @return the tokens
	 */
	long kvBeforeCollection() {
		return this.kvBeforeCollection;
	}

	/**
	 * Applies the memory collection that a grant announces.
	 * @param number its number, or 0 if there is none
	 */
	void updateCollection(int number) {
		if (number != this.collection) {
			this.collection = number;
			this.generation++;
			this.kvBeforeCollection = (number != 0) ? this.inUse.kvTokens() : 0;
		}
	}

	/**
	 * Returns the prompt tokens sent that the newest report cannot include.
	 * @return the tokens
	 */
	long uncoveredPrefillTokens() {
		return this.uncoveredPrefillTokens;
	}

	/**
	 * Returns the most that was in flight in the last one to two windows.
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

	void prefillCompleted(Prefill prefill) {
		if (this.prefills.remove(prefill) && !prefill.covered) {
			this.uncoveredPrefillTokens -= prefill.tokens;
		}
	}

	/**
	 * Removes a request.
	 * @param amount the capacity it used
	 * @param begunIn the generation in which it began
	 */
	void end(Amount amount, int begunIn) {
		this.inUse = this.inUse.minus(amount);
		if (begunIn != this.generation && this.collection != 0) {
			this.kvBeforeCollection -= amount.kvTokens();
		}
	}

	/**
	 * Processes a report: its figures include the prompts sent before it was made.
	 * @param takenAt the estimated time at which the report was made
	 */
	void reportReceived(long takenAt) {
		for (Prefill prefill : this.prefills) {
			if (!prefill.covered && prefill.sentAt - takenAt < 0) {
				prefill.covered = true;
				this.uncoveredPrefillTokens -= prefill.tokens;
			}
		}
	}

	/**
	 * A prompt that was sent and has not returned its first token.
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
