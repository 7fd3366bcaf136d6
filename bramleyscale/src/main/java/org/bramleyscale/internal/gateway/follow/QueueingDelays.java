package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

import org.bramleyscale.Incarnation;
import org.bramleyscale.internal.time.Clock;

/**
 * How long messages of peers waited on their way, in queues of the sender, of the links
 * and of this process.
 *
 * <p>
 * The monotonic clocks of two processes have nothing in common, but the difference
 * between sending by the one and arrival by the other is smallest for the message that
 * waited least. What a message takes beyond that smallest difference it waited.
 *
 * <p>
 * Invariants: a delay is never negative; it is never more than the message waited, as far
 * as the clocks keep pace. It is less if all messages of the last one or two spans
 * waited. Confined to the scheduler's thread.
 */
final class QueueingDelays {

	/**
	 * For how long a smallest difference holds at least, and at most twice as long:
	 * longer than queues stand. Clocks that drift apart by 50 parts in a million change
	 * it by 60 ms in that time. A clock that stood still while its VM was paused is
	 * forgiven after it.
	 */
	static final Duration SPAN = Duration.ofMinutes(10);

	/** The sending time of a peer that doesn't tell it. */
	static final long UNKNOWN = 0;

	/** Messages that wait for so long queue. */
	static final Duration QUEUES = Duration.ofSeconds(1);

	/** Messages that wait for less don't queue any more. */
	static final Duration QUEUES_NO_MORE = Duration.ofMillis(200);

	private final Clock clock;

	private final Listener listener;

	private final long startedAt;

	private final Map<Incarnation, Sender> senders = new HashMap<>();

	/**
	 * Makes the delays of a daemon that has heard nobody.
	 * @param clock the daemon's monotonic clock
	 * @param listener told when a sender's messages begin and cease to queue
	 */
	QueueingDelays(Clock clock, Listener listener) {
		this.clock = clock;
		this.listener = listener;
		this.startedAt = clock.nanos();
	}

	/**
	 * The sending time to put into a message.
	 * @return ms since some moment of this daemon's life, above {@link #UNKNOWN}
	 */
	long sendingMillis() {
		return nowMillis() + 1;
	}

	/**
	 * Notes the arrival of a message.
	 * @param from the sender
	 * @param sentMillis the sending time in the message
	 * @return how long it waited, or 0 if it doesn't tell when it was sent
	 */
	long waitedMillis(Incarnation from, long sentMillis) {
		if (sentMillis == UNKNOWN) {
			return 0;
		}
		long now = nowMillis();
		Sender sender = this.senders.get(from);
		if (sender == null) {
			this.senders.values().removeIf((other) -> other.unheardSince(now - 2 * SPAN.toMillis()));
			sender = new Sender();
			this.senders.put(from, sender);
		}
		long waited = sender.waited(now, now - sentMillis);
		if (sender.queueBeginsOrEnds(waited)) {
			this.listener.queues(from, sender.queues, waited);
		}
		return waited;
	}

	private long nowMillis() {
		return Duration.ofNanos(this.clock.nanos() - this.startedAt).toMillis();
	}

	/**
	 * Told when a sender's messages begin and cease to queue.
	 */
	@FunctionalInterface
	interface Listener {

		/**
		 * Called on the scheduler's thread.
		 * @param from the sender
		 * @param queue whether its messages queue now
		 * @param waitedMillis how long the last one waited
		 */
		void queues(Incarnation from, boolean queue, long waitedMillis);

	}

	/**
	 * What is known of one sender.
	 */
	private static final class Sender {

		private long spanEndsAt = Long.MIN_VALUE;

		private long heardAt;

		private boolean queues;

		private long smallest = Long.MAX_VALUE;

		private long smallestOfSpanBefore = Long.MAX_VALUE;

		private long waited(long now, long difference) {
			if (now >= this.spanEndsAt) {
				this.smallestOfSpanBefore = this.smallest;
				this.smallest = Long.MAX_VALUE;
				this.spanEndsAt = now + SPAN.toMillis();
			}
			this.heardAt = now;
			this.smallest = Math.min(this.smallest, difference);
			return difference - Math.min(this.smallest, this.smallestOfSpanBefore);
		}

		private boolean queueBeginsOrEnds(long waited) {
			boolean before = this.queues;
			this.queues = waited >= (before ? QUEUES_NO_MORE : QUEUES).toMillis();
			return this.queues != before;
		}

		private boolean unheardSince(long time) {
			return this.heardAt < time;
		}

	}

}
