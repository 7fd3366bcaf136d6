package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Follows one kind of objects in the platform's store, as one of a fleet.
 *
 * <p>
 * Each change answers every watch that waits, so if all daemons watched, a change would
 * cost as many calls as there are daemons. The first two in the fleet's order watch and
 * tell the others. The others ask only when the news they have are old, one after the
 * other in that order, so that normally the third asks and all hear of it. One that finds
 * something that no watcher told of watches for a while itself: the watchers may be
 * frozen, cut off, turned away by the store, or hold connections that have gone silent.
 *
 * <p>
 * The store is at times down, slow or without its history. Each call ends within a time
 * limit of the adapter's; after lost history the follower lists anew. After a failure the
 * watchers try again soon, and with short calls until the store answers: a silent one
 * swallows a watch for its whole length. The others ask again at a steady pace, which
 * bounds what they can be late once the store is back even if no peer tells them
 * anything.
 *
 * <p>
 * Invariant: copies count as confirmed for a time before which the store can't have made
 * its answer, however long that waits to be read. Confined to the scheduler's thread.
 */
public final class StoreFollower {

	/** Daemons that always watch: one may be gone without a delay for the others. */
	static final int WATCHERS = 2;

	/** The pause between looks at whether to ask. */
	static final Duration TURN = Duration.ofMillis(100);

	/** The first pause after a failure; a hiccup shall cost less than a heartbeat. */
	static final Duration SHORTEST_PAUSE = Duration.ofMillis(50);

	/** The longest pause of a watcher: entries that lapsed are judged in two seconds. */
	static final Duration LONGEST_PAUSE = Duration.ofMillis(400);

	/** Before this, a daemon that starts waits for what its peers know. */
	static final Duration PEERS_FIRST = Duration.ofMillis(500);

	/** A watch that others' news have overtaken for so long has gone silent. */
	static final Duration OVERTAKEN = Duration.ofMillis(500);

	/** How long a daemon watches that found what no watcher had told of. */
	static final Duration STAND_IN = Duration.ofSeconds(10);

	/** A call that takes so much longer than it should met a silent store. */
	private static final Duration UNANSWERED = Duration.ofSeconds(1);

	/** A watch that is answered at once. */
	private static final Duration AT_ONCE = Duration.ofMillis(1);

	/** Spreads the calls of a fleet to which the store is away. */
	private static final int SPREAD_PART = 8;

	/** By how much later each next daemon asks: news need some ms to spread. */
	private static final Duration STEP = Duration.ofMillis(100);

	/** The last ones ask together, so that news never get older than this adds. */
	private static final int MOST_STEPS = 8;

	private final String kind;

	private final Scheduler scheduler;

	private final RandomGenerator random;

	private final ObjectStore store;

	private final FollowedKind copies;

	private final FollowOrder order;

	private final FollowTimes times;

	private final DecisionLog log;

	private News news = (from) -> {
	};

	private long failures;

	private long failedAt;

	private long outageAt;

	private long answeredAt;

	private long notBefore;

	private long watchesUntil;

	private long overtakenAt;

	private Asked asked;

	private boolean stopped;

	/**
	 * Makes a follower that isn't started.
	 * @param kind the kind of objects
	 * @param scheduler the daemon's scheduler
	 * @param random for the jitter of pauses
	 * @param store the store
	 * @param copies takes what is read
	 * @param order who asks first
	 * @param times how closely to follow
	 * @param log takes a line when the store is lost and when it is back
	 */
	public StoreFollower(String kind, Scheduler scheduler, RandomGenerator random, ObjectStore store,
			FollowedKind copies, FollowOrder order, FollowTimes times, DecisionLog log) {
		this.kind = kind;
		this.scheduler = scheduler;
		this.random = random;
		this.store = store;
		this.copies = copies;
		this.order = order;
		this.times = times;
		this.log = log;
		this.failedAt = scheduler.nanos() - Duration.ofDays(1).toNanos();
		this.outageAt = this.failedAt;
		this.answeredAt = scheduler.nanos();
		this.watchesUntil = scheduler.nanos();
	}

	/**
	 * Tells of each answer of the store.
	 * @param listener called after the copies have taken the answer
	 */
	public void onNews(News listener) {
		this.news = listener;
	}

	public void start() {
		this.notBefore = this.scheduler.nanos();
		list(true);
		this.scheduler.repeat(TURN, this::turn);
	}

	public void stop() {
		this.stopped = true;
	}

	/**
	 * Whether the last call failed.
	 * @return true if the store is away as far as this daemon can tell
	 */
	public boolean away() {
		return this.failures > 0;
	}

	/**
	 * For how long the store has not failed this daemon. Its first answer after a failed
	 * call still counts to the failure: it may tell of entries that lapsed meanwhile.
	 * @return the time since the last failed call, or since the answer after it
	 */
	public Duration sinceFailure() {
		return Duration.ofNanos(this.scheduler.nanos() - this.failedAt);
	}

	/**
	 * For how long the store has not been away. A single call that is cut off, and the
	 * next one answered, is no outage, nor is a store that others hear meanwhile.
	 * @return the time since the last sign of an outage, or since the first answer after
	 * it
	 */
	public Duration sinceOutage() {
		return Duration.ofNanos(this.scheduler.nanos() - this.outageAt);
	}

	/**
	 * For how long the store has not answered.
	 * @return the time since its last answer
	 */
	public Duration silence() {
		return Duration.ofNanos(this.scheduler.nanos() - this.answeredAt);
	}

	private void turn() {
		long now = this.scheduler.nanos();
		if (this.stopped || (this.asked != null && !overtaken(now)) || now - this.notBefore < 0) {
			return;
		}
		if (this.copies.complete() == 0) {
			list(false);
		}
		else if (watches(now)) {
			watch((this.failures > 0) ? AT_ONCE : this.times.watch());
		}
		else if (now - this.copies.confirmedAt() >= patience().toNanos()) {
			watch(AT_ONCE);
		}
	}

	/**
	 * Whether the call under way is a watch on a connection that has gone silent: peers
	 * have told of changes that it should have been answered with. Only the end of the
	 * watch would show it otherwise, seconds later.
	 * @param now the time
	 * @return true if it is to be given up
	 */
	private boolean overtaken(long now) {
		if (this.asked.after() < 0 || this.copies.lastChange() <= this.asked.after()) {
			this.overtakenAt = now;
			return false;
		}
		if (now - this.overtakenAt < OVERTAKEN.toNanos()) {
			return false;
		}
		this.log.belief("store", this.kind, "watch", "silent", "after", this.asked.after(), "known",
				this.copies.lastChange());
		return true;
	}

	private boolean watches(long now) {
		return now - this.watchesUntil < 0 || this.order.rank() < WATCHERS || this.order.alone();
	}

	private Duration patience() {
		int before = Math.max(0, Math.min(MOST_STEPS, this.order.rank() - WATCHERS));
		return this.times.checkAfter().plus(STEP.multipliedBy(before));
	}

	/**
	 * Reads all objects. The first time a copy that may be seconds old will do, since
	 * peers or the first watch bring what is newer.
	 * @param first whether this is the daemon's first call
	 */
	private void list(boolean first) {
		if (first) {
			ask(this.store.listCached(this.kind), Asked.NO_WATCH, Duration.ZERO, (batch, askedAt) -> {
				this.copies.list(asOfItsNewest(batch));
				this.notBefore = this.scheduler.nanos() + PEERS_FIRST.toNanos();
			});
			return;
		}
		long known = this.copies.complete();
		ask(this.store.list(this.kind), Asked.NO_WATCH, Duration.ZERO, (batch, askedAt) -> {
			this.copies.list(batch);
			told(known, askedAt);
		});
	}

	/**
	 * A cached list as complete up to its newest object only. The revision that the store
	 * gives with it may be that of now; a watch from there would miss what changed since
	 * the list was made, and the daemon would serve by an old document until the next
	 * one.
	 * @param cached the list
	 * @return the list with the revision of its newest object, 0 if it has none
	 */
	private static WatchBatch asOfItsNewest(WatchBatch cached) {
		long newest = cached.changed().stream().mapToLong(StoredObject::version).max().orElse(0);
		return new WatchBatch(Math.min(newest, cached.revision()), false, cached.changed());
	}

	private void watch(Duration wait) {
		long after = this.copies.complete();
		boolean check = !watches(this.scheduler.nanos());
		ask(this.store.watch(this.kind, after, wait), after, wait, (batch, askedAt) -> {
			if (batch.gap()) {
				this.log.belief("store", this.kind, "history", "lost", "revision", after);
				list(false);
				return;
			}
			long known = this.copies.lastChange();
			this.copies.changes(batch);
			boolean changed = this.copies.lastChange() > known;
			if (changed) {
				this.notBefore = this.scheduler.nanos() + this.times.gather().toNanos();
			}
			if (changed && check) {
				this.watchesUntil = this.scheduler.nanos() + STAND_IN.toNanos();
				this.log.belief("store", this.kind, "watchers", "behind", "revision", this.copies.lastChange(), "known",
						known);
			}
			// Only a watch without changes was answered no sooner than it asked for.
			boolean empty = batch.changed().isEmpty() && batch.deleted().isEmpty();
			long answeredAt = empty ? askedAt + wait.toNanos() : askedAt;
			told(after, Math.min(answeredAt, this.scheduler.nanos()));
		});
	}

	private void told(long from, long confirmedAt) {
		this.copies.confirm(confirmedAt);
		this.news.told(from);
	}

	private void ask(CompletableFuture<WatchBatch> call, long after, Duration wait, Reading reading) {
		long now = this.scheduler.nanos();
		Asked mine = new Asked(after, now, now + wait.plus(UNANSWERED).toNanos());
		this.asked = mine;
		this.overtakenAt = now;
		call.whenComplete((batch, failure) -> {
			if (this.stopped || this.asked != mine) {
				return;
			}
			this.asked = null;
			if (failure != null) {
				failed(failure, mine);
				return;
			}
			answered();
			reading.take(batch, mine.askedAt());
			turn();
		});
	}

	private void failed(Throwable failure, Asked call) {
		long now = this.scheduler.nanos();
		this.failedAt = now;
		this.failures++;
		if ((this.failures > 1 || now - call.dueAt() >= 0) && unheard(now)) {
			this.outageAt = now;
		}
		if (this.failures == 1) {
			this.log.belief("store", this.kind, "state", "lost", "cause", failure.getMessage(), "revision",
					this.copies.complete());
		}
		boolean needed = this.copies.complete() == 0 || watches(now);
		this.notBefore = needed ? now + pauseOfWatcher() : call.askedAt() + paceOfOthers();
		this.scheduler.schedule(Duration.ofNanos(this.notBefore - now), this::turn);
	}

	/**
	 * Whether nobody has heard the store for a while. It may turn single daemons away
	 * while it serves the others and the endpoints, whose entries don't lapse then.
	 * @param now the time
	 * @return true if the store is away for all, as far as heard
	 */
	private boolean unheard(long now) {
		return now - this.copies.confirmedAt() > this.times.askAgain().toNanos();
	}

	private long pauseOfWatcher() {
		long pause = Math.min(SHORTEST_PAUSE.toNanos() << Math.min(this.failures - 1, 10), LONGEST_PAUSE.toNanos());
		return pause / 2 + this.random.nextLong(pause);
	}

	private long paceOfOthers() {
		long pace = this.times.askAgain().toNanos();
		return pace + this.random.nextLong(pace / SPREAD_PART);
	}

	private void answered() {
		long now = this.scheduler.nanos();
		if (this.failures > 0) {
			this.log.belief("store", this.kind, "state", "back", "failures", this.failures, "away_ms",
					silence().toMillis());
			this.failedAt = now;
		}
		if (this.failures > 0 && unheard(now)) {
			this.outageAt = now;
		}
		this.failures = 0;
		this.answeredAt = now;
	}

	/**
	 * Told when the store has answered.
	 */
	@FunctionalInterface
	public interface News {

		/**
		 * Called on the scheduler's thread.
		 * @param from the copies hold every change after this revision
		 */
		void told(long from);

	}

	/**
	 * Takes an answer into the copies.
	 */
	@FunctionalInterface
	private interface Reading {

		void take(WatchBatch batch, long askedAt);

	}

	/**
	 * The call under way. Compared by identity: the answer of one that was given up is no
	 * longer waited for.
	 */
	private static final class Asked {

		private static final long NO_WATCH = -1;

		private final long after;

		private final long askedAt;

		private final long dueAt;

		private Asked(long after, long askedAt, long dueAt) {
			this.after = after;
			this.askedAt = askedAt;
			this.dueAt = dueAt;
		}

		private long after() {
			return this.after;
		}

		private long askedAt() {
			return this.askedAt;
		}

		private long dueAt() {
			return this.dueAt;
		}

	}

}
