package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Clock;

/**
 * Estimates how long messages of peers were queued on their way: at the sender, on the
 * links and in this process.
 *
 * <p>
 * The monotonic clocks of two processes are unrelated. But when a peer echoes the
 * timestamp of the last message that it received from this daemon, and states for how
 * long it has held it, the rest of the time since then is the round trip. So its clock is
 * behind this one by at least the difference between the arrival of the peer's message,
 * by this clock, and its sending, by the peer's, less the whole round trip. The greatest
 * such lower bound of the clock offset comes from the quickest exchange, and no message
 * was delayed by more than the amount by which its own difference exceeds the bound.
 *
 * <p>
 * Invariants: the estimate is never less than the actual delay of a message, as long as
 * the clocks run at the same rate, even if there were queues from the start on. It
 * exceeds the delay by at most the round trip of the quickest exchange. Confined to the
 * scheduler's thread.
 */
final class QueueingDelays {

	/**
	 * The least time for which a bound of the clock offset is used, and half of the
	 * longest; longer than queues last. Clocks that drift apart by 50 parts in a million
	 * change the offset by 60 ms in the longest time.
	 */
	static final Duration WINDOW = Duration.ofMinutes(10);

	/** The delay from which messages count as queueing. */
	static final Duration QUEUE_START = Duration.ofSeconds(1);

	/** The delay below which messages no longer count as queueing. */
	static final Duration QUEUE_END = Duration.ofMillis(200);

	private final Incarnation self;

	private final Clock clock;

	private final Listener listener;

	private final long startedAt;

	private final Map<VmId, Peer> peers = new HashMap<>();

	/**
	 * Creates the estimates of a daemon that has received no message yet.
	 * @param self the daemon
	 * @param clock its monotonic clock
	 * @param listener notified when messages of a peer start and stop queueing
	 */
	QueueingDelays(Incarnation self, Clock clock, Listener listener) {
		this.self = self;
		this.clock = clock;
		this.listener = listener;
		this.startedAt = clock.nanos();
	}

	/**
	 * The timestamps of a message for several peers.
	 * @return the timestamps
	 */
	SendingTimes forBroadcast() {
		return new SendingTimes(nowMillis(), null, 0, 0);
	}

	/**
	 * The timestamps of a message for one peer, from which the peer can estimate how long
	 * messages of this daemon are queued.
	 * @param vm the peer's VM
	 * @return the timestamps
	 */
	SendingTimes forPeer(VmId vm) {
		Peer peer = this.peers.get(vm);
		long now = nowMillis();
		return (peer != null) ? new SendingTimes(now, peer.incarnation, peer.sentMillis, now - peer.receivedAt)
				: forBroadcast();
	}

	/**
	 * Whether a message echoes no message of this daemon.
	 * @param times the timestamps of the message, null from a peer of a version without
	 * them
	 * @return true if the sender, provided that the message had one addressee, can't
	 * estimate how long messages of this daemon are queued
	 */
	boolean lacksEcho(SendingTimes times) {
		return times != null && !this.self.equals(times.addressee());
	}

	/**
	 * Records the arrival of a message.
	 * @param from the sender
	 * @param times the timestamps of the message, null from a peer of a version without
	 * them
	 * @return the upper bound of its delay; empty if none is known
	 */
	OptionalLong waitedMillis(Incarnation from, SendingTimes times) {
		if (times == null) {
			return OptionalLong.empty();
		}
		Peer peer = this.peers.get(from.vm());
		if (peer == null || !peer.incarnation.equals(from)) {
			long expired = nowMillis() - 2 * WINDOW.toMillis();
			this.peers.values().removeIf((other) -> other.receivedAt < expired);
			peer = new Peer(from);
			this.peers.put(from.vm(), peer);
		}
		OptionalLong waited = peer.received(nowMillis(), times, !lacksEcho(times));
		if (waited.isPresent() && peer.updateQueueing(waited.getAsLong())) {
			this.listener.queueChanged(from, peer.queueing, waited.getAsLong());
		}
		return waited;
	}

	private long nowMillis() {
		return Duration.ofNanos(this.clock.nanos() - this.startedAt).toMillis();
	}

	/**
	 * A listener for the start and the end of queueing.
	 */
	@FunctionalInterface
	interface Listener {

		/**
		 * Called on the scheduler's thread.
		 * @param from the peer
		 * @param queueing whether its messages queue now
		 * @param waitedMillis the delay of the last message
		 */
		void queueChanged(Incarnation from, boolean queueing, long waitedMillis);

	}

	/**
	 * The clock offset and queueing state of one incarnation of a peer.
	 */
	private static final class Peer {

		private static final long UNKNOWN = Long.MIN_VALUE;

		private final Incarnation incarnation;

		private long sentMillis;

		private long receivedAt;

		private boolean queueing;

		private long windowEndsAt = UNKNOWN;

		private long offset = UNKNOWN;

		private long previousOffset = UNKNOWN;

		private Peer(Incarnation incarnation) {
			this.incarnation = incarnation;
		}

		private OptionalLong received(long now, SendingTimes times, boolean echoes) {
			this.sentMillis = times.sentMillis();
			this.receivedAt = now;
			rotateWindow(now);
			long difference = now - times.sentMillis();
			if (difference < offsetBound()) {
				// No message arrives before it is sent, so the local clock has been
				// suspended since the bound was measured.
				this.offset = UNKNOWN;
				this.previousOffset = UNKNOWN;
			}
			if (echoes) {
				long roundTrip = Math.max(0, now - times.echoedMillis() - times.heldMillis());
				this.offset = Math.max(this.offset, difference - roundTrip);
			}
			long bound = offsetBound();
			return (bound != UNKNOWN) ? OptionalLong.of(difference - bound) : OptionalLong.empty();
		}

		private void rotateWindow(long now) {
			if (now >= this.windowEndsAt) {
				this.previousOffset = this.offset;
				this.offset = UNKNOWN;
				this.windowEndsAt = now + WINDOW.toMillis();
			}
		}

		private long offsetBound() {
			return Math.max(this.offset, this.previousOffset);
		}

		/**
		 * Updates whether messages queue.
		 * @param waited the delay of the last message, ms
		 * @return true if queueing started or ended with it
		 */
		private boolean updateQueueing(long waited) {
			boolean before = this.queueing;
			this.queueing = waited >= (before ? QUEUE_END : QUEUE_START).toMillis();
			return this.queueing != before;
		}

	}

}
