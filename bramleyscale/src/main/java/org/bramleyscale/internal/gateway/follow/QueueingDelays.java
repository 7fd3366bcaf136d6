package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Clock;

/**
 * How long messages of peers waited on their way, in queues of the sender, of the links
 * and of this process.
 *
 * <p>
 * The monotonic clocks of two processes have nothing in common. But when a peer says
 * which message of this daemon it heard last and for how long it has had it, the rest of
 * the time since then was spent under way, there and back; so its clock is behind this
 * one by at least what the message back took less all of that rest. The greatest such
 * bound comes from the quickest exchange, and every other message waited no longer than
 * the bound leaves.
 *
 * <p>
 * Invariants: a message never waited longer than is said here, as far as the clocks keep
 * pace, whatever queues there were from the start on; what is said is too much by the
 * travel of the quickest exchange. Confined to the scheduler's thread.
 */
final class QueueingDelays {

	/**
	 * For how long a bound holds at least, and at most twice as long: longer than queues
	 * stand. Clocks that drift apart by 50 parts in a million change it by 60 ms in that
	 * time.
	 */
	static final Duration SPAN = Duration.ofMinutes(10);

	/** Messages that wait for so long queue. */
	static final Duration QUEUES = Duration.ofSeconds(1);

	/** Messages that wait for less don't queue any more. */
	static final Duration QUEUES_NO_MORE = Duration.ofMillis(200);

	private final Incarnation self;

	private final Clock clock;

	private final Listener listener;

	private final long startedAt;

	private final Map<VmId, Peer> peers = new HashMap<>();

	/**
	 * Makes the delays of a daemon that has heard nobody.
	 * @param self the daemon
	 * @param clock its monotonic clock
	 * @param listener told when a peer's messages begin and cease to queue
	 */
	QueueingDelays(Incarnation self, Clock clock, Listener listener) {
		this.self = self;
		this.clock = clock;
		this.listener = listener;
		this.startedAt = clock.nanos();
	}

	/**
	 * The times to put into a message for many peers.
	 * @return the times
	 */
	SendingTimes toMany() {
		return new SendingTimes(nowMillis(), null, 0, 0);
	}

	/**
	 * The times to put into a message for one peer, who can work out from them how long
	 * messages of this daemon wait.
	 * @param vm the peer's VM
	 * @return the times
	 */
	SendingTimes to(VmId vm) {
		Peer peer = this.peers.get(vm);
		long now = nowMillis();
		return (peer != null) ? new SendingTimes(now, peer.incarnation, peer.sentMillis, now - peer.heardAt) : toMany();
	}

	/**
	 * Whether a peer hadn't heard this daemon when it sent a message for it alone.
	 * @param times the times in the message, null from a peer that doesn't tell any
	 * @return true if it can't know how long messages of this daemon wait
	 */
	boolean unheard(SendingTimes times) {
		return times != null && !this.self.equals(times.heard());
	}

	/**
	 * Notes the arrival of a message.
	 * @param from the sender
	 * @param times the times in the message, null from a peer that doesn't tell any
	 * @return how long it waited at the most; empty if that isn't known
	 */
	OptionalLong waitedMillis(Incarnation from, SendingTimes times) {
		if (times == null) {
			return OptionalLong.empty();
		}
		Peer peer = this.peers.get(from.vm());
		if (peer == null || !peer.incarnation.equals(from)) {
			long unheard = nowMillis() - 2 * SPAN.toMillis();
			this.peers.values().removeIf((other) -> other.heardAt < unheard);
			peer = new Peer(from);
			this.peers.put(from.vm(), peer);
		}
		OptionalLong waited = peer.heard(nowMillis(), times, !unheard(times));
		if (waited.isPresent() && peer.noteQueue(waited.getAsLong())) {
			this.listener.queues(from, peer.queues, waited.getAsLong());
		}
		return waited;
	}

	private long nowMillis() {
		return Duration.ofNanos(this.clock.nanos() - this.startedAt).toMillis();
	}

	/**
	 * Told when a peer's messages begin and cease to queue.
	 */
	@FunctionalInterface
	interface Listener {

		/**
		 * Called on the scheduler's thread.
		 * @param from the peer
		 * @param queue whether its messages queue now
		 * @param waitedMillis how long the last one waited
		 */
		void queues(Incarnation from, boolean queue, long waitedMillis);

	}

	/**
	 * What is known of one start of a peer.
	 */
	private static final class Peer {

		private static final long UNKNOWN = Long.MIN_VALUE;

		private final Incarnation incarnation;

		private long sentMillis;

		private long heardAt;

		private boolean queues;

		private long spanEndsAt = UNKNOWN;

		private long behind = UNKNOWN;

		private long behindInSpanBefore = UNKNOWN;

		private Peer(Incarnation incarnation) {
			this.incarnation = incarnation;
		}

		private OptionalLong heard(long now, SendingTimes times, boolean answers) {
			this.sentMillis = times.sentMillis();
			this.heardAt = now;
			turnSpan(now);
			long difference = now - times.sentMillis();
			if (difference < bound()) {
				// No message arrives before it is sent: a clock stood still since.
				this.behind = UNKNOWN;
				this.behindInSpanBefore = UNKNOWN;
			}
			if (answers) {
				long underWay = Math.max(0, now - times.heardSentMillis() - times.heldMillis());
				this.behind = Math.max(this.behind, difference - underWay);
			}
			long bound = bound();
			return (bound != UNKNOWN) ? OptionalLong.of(difference - bound) : OptionalLong.empty();
		}

		private void turnSpan(long now) {
			if (now >= this.spanEndsAt) {
				this.behindInSpanBefore = this.behind;
				this.behind = UNKNOWN;
				this.spanEndsAt = now + SPAN.toMillis();
			}
		}

		private long bound() {
			return Math.max(this.behind, this.behindInSpanBefore);
		}

		/**
		 * Notes whether messages queue.
		 * @param waited how long the last one waited, ms
		 * @return true if a queue began or ended with it
		 */
		private boolean noteQueue(long waited) {
			boolean before = this.queues;
			this.queues = waited >= (before ? QUEUES_NO_MORE : QUEUES).toMillis();
			return this.queues != before;
		}

	}

}
