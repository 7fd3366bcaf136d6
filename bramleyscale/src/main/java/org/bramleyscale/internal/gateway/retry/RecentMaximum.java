package org.bramleyscale.internal.gateway.retry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The largest of the numbers that were observed in the last time span. Confined to the
 * scheduler's thread.
 */
final class RecentMaximum {

	private final long spanNanos;

	private final Deque<Observation> candidates = new ArrayDeque<>();

	RecentMaximum(Duration span) {
		this.spanNanos = span.toNanos();
	}

	void observe(int number, long now) {
		while (!this.candidates.isEmpty() && this.candidates.peekLast().number <= number) {
			this.candidates.removeLast();
		}
		this.candidates.addLast(new Observation(number, now));
		while (now - this.candidates.peekFirst().at > this.spanNanos) {
			this.candidates.removeFirst();
		}
	}

	/**
	 * The largest number that was observed within the span before the last observation.
	 * @return the number, 0 before the first observation
	 */
	int value() {
		return this.candidates.isEmpty() ? 0 : this.candidates.peekFirst().number;
	}

	/**
	 * A number that may become the largest once earlier ones are too old.
	 *
	 * @param number the number
	 * @param at when it was last observed
	 */
	private record Observation(int number, long at) {
	}

}
