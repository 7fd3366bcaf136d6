package org.bramleyscale.internal.admission;

/**
 * The waiting work of one class of length and the rate at which it lately went on.
 *
 * <p>
 * The rate counts only time in which something waited; otherwise a quiet hour would look
 * like a slow queue. Not safe for use by multiple threads.
 */
final class Backlog {

	private static final double MEMORY_SECONDS = 20;

	private long tokens;

	private int requests;

	private long updated;

	private double waitedSeconds;

	private double takenTokens;

	int requests() {
		return this.requests;
	}

	void added(long cost, long now) {
		advance(now);
		this.requests++;
		this.tokens += cost;
	}

	void taken(long cost, long now) {
		removed(cost, now);
		this.takenTokens += cost;
	}

	void removed(long cost, long now) {
		advance(now);
		this.requests--;
		this.tokens -= cost;
	}

	/**
	 * How long the work that waits now will take to go on.
	 * @return seconds, 0 if nothing is known
	 */
	double seconds() {
		if (this.takenTokens <= 0 || this.requests == 0) {
			return 0;
		}
		return this.tokens * this.waitedSeconds / this.takenTokens;
	}

	private void advance(long now) {
		double seconds = (now - this.updated) / 1e9;
		this.updated = now;
		if (this.requests == 0 || seconds <= 0) {
			return;
		}
		double kept = Math.exp(-seconds / MEMORY_SECONDS);
		this.waitedSeconds = this.waitedSeconds * kept + seconds;
		this.takenTokens *= kept;
	}

}
