package org.bramleyscale.internal.gateway.retry;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.time.Clock;

/**
 * Bounds the requests sent a second time in each window, for each service.
 *
 * <p>
 * When endpoints fail for everybody, each request sent again is one more for those that
 * are left, and the outage feeds itself. Over all daemons no window may hold more repeats
 * than a ratio of its requests plus a constant. Every daemon keeps to the ratio of its
 * own requests plus its part of the constant, so the bound holds without a message, also
 * between daemons that can't hear each other. Confined to the scheduler's thread.
 */
public final class RetryWindow {

	/**
	 * The part of the constant that is used: daemons that start again forget what they
	 * spent, and peers that can't be heard divide the constant by too few.
	 */
	private static final double USED_PART = 0.6;

	private static final int BUCKETS = 20;

	private final Clock clock;

	private final long bucketNanos;

	private final double ratio;

	private final double constant;

	private final IntSupplier daemons;

	private final Map<ServiceName, Window> windows = new HashMap<>();

	/**
	 * Makes a budget.
	 * @param clock the daemon's clock
	 * @param window the window's length
	 * @param ratio repeats allowed for each request
	 * @param constant repeats allowed in any window besides, for all daemons together
	 * @param daemons how many daemons there are, at least 1
	 */
	public RetryWindow(Clock clock, Duration window, double ratio, double constant, IntSupplier daemons) {
		this.clock = clock;
		this.bucketNanos = window.toNanos() / BUCKETS;
		this.ratio = ratio;
		this.constant = constant;
		this.daemons = daemons;
	}

	/**
	 * Notes a request's first arrival.
	 * @param service the service
	 */
	public void first(ServiceName service) {
		window(service).last(this.clock.nanos()).firsts++;
	}

	/**
	 * Takes a repeat from the budget.
	 * @param service the service
	 * @return false if the budget is spent
	 */
	public boolean repeat(ServiceName service) {
		Window window = window(service);
		Bucket bucket = window.last(this.clock.nanos());
		int firsts = 0;
		int repeats = 0;
		for (Bucket each : window.buckets) {
			firsts += each.firsts;
			repeats += each.repeats;
		}
		double allowed = this.ratio * firsts + USED_PART * this.constant / Math.max(1, this.daemons.getAsInt());
		if (repeats + 1 > allowed) {
			return false;
		}
		bucket.repeats++;
		return true;
	}

	private Window window(ServiceName service) {
		return this.windows.computeIfAbsent(service, (name) -> new Window());
	}

	/**
	 * The latest buckets of one service.
	 */
	private final class Window {

		private final Deque<Bucket> buckets = new ArrayDeque<>();

		private Bucket last(long now) {
			long index = Math.floorDiv(now, RetryWindow.this.bucketNanos);
			while (!this.buckets.isEmpty() && this.buckets.peekFirst().index <= index - BUCKETS) {
				this.buckets.removeFirst();
			}
			if (this.buckets.isEmpty() || this.buckets.peekLast().index != index) {
				this.buckets.addLast(new Bucket(index));
			}
			return this.buckets.peekLast();
		}

	}

	/**
	 * What was sent in a twentieth of the window.
	 */
	private static final class Bucket {

		private final long index;

		private int firsts;

		private int repeats;

		private Bucket(long index) {
			this.index = index;
		}

	}

}
