package org.bramleyscale.internal.gateway.retry;

import java.util.NavigableMap;
import java.util.TreeMap;

/**
 * The requests and retries of one service in the last window, in short intervals.
 *
 * <p>
 * Invariant: in each window that this daemon was running at the begin of, retries are at
 * most a ratio of the requests plus its share of the constant; in a window that contains
 * its start they are at most the ratio. Retries that aren't answered yet count in each
 * window, since they may arrive at any time. Confined to the scheduler's thread.
 */
final class RetryWindow {

	private final double ratio;

	private final int intervals;

	private final NavigableMap<Long, Interval> byIndex = new TreeMap<>();

	private int pending;

	private int requestsSinceStart;

	private int retriesSinceStart;

	/**
	 * Creates an empty window.
	 * @param ratio the retries allowed for each request
	 * @param intervals the number of intervals in a window
	 */
	RetryWindow(double ratio, int intervals) {
		this.ratio = ratio;
		this.intervals = intervals;
	}

	void addRequest(long index) {
		interval(index).requests++;
		this.requestsSinceStart++;
	}

	void addPending() {
		this.pending++;
		this.retriesSinceStart++;
	}

	void cancelPending() {
		this.pending--;
		this.retriesSinceStart--;
	}

	/**
	 * Records that a pending retry can't arrive any more after an interval.
	 * @param index the interval
	 */
	void settlePending(long index) {
		this.pending--;
		interval(index).retries++;
	}

	/**
	 * Whether one more retry keeps all windows that end now.
	 * @param now the current interval
	 * @param startsInWindow whether the daemon has started within the last window
	 * @param share the daemon's share of the constant
	 * @return true if it does
	 */
	boolean permits(long now, boolean startsInWindow, double share) {
		prune(now);
		if (startsInWindow && this.retriesSinceStart + 1 > this.ratio * this.requestsSinceStart) {
			return false;
		}
		int requests = 0;
		int retries = this.pending + 1;
		if (retries > share) {
			return false;
		}
		for (Interval interval : this.byIndex.descendingMap().values()) {
			retries += interval.retries;
			if (retries > this.ratio * requests + share) {
				return false;
			}
			requests += interval.requests;
		}
		return true;
	}

	int pending() {
		return this.pending;
	}

	int requests(long now) {
		prune(now);
		return this.byIndex.values().stream().mapToInt((interval) -> interval.requests).sum();
	}

	int retries(long now) {
		prune(now);
		return this.pending + this.byIndex.values().stream().mapToInt((interval) -> interval.retries).sum();
	}

	/**
	 * Removes the intervals before the window. One more than fits is kept, since a window
	 * may begin within it.
	 * @param now the current interval
	 */
	private void prune(long now) {
		this.byIndex.headMap(now - this.intervals, false).clear();
	}

	private Interval interval(long index) {
		return this.byIndex.computeIfAbsent(index, (each) -> new Interval());
	}

	/**
	 * The requests and retries of an interval.
	 */
	private static final class Interval {

		private int requests;

		private int retries;

	}

}
